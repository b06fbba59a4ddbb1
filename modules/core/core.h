#pragma once

/// Umbrella header of the core module: time, results, counters, digests and settings.
#include "core/clock.h"
#include "core/counters.h"
#include "core/digest.h"
#include "core/result.h"
#include "core/result_code.h"
#include "core/settings.h"
#include "core/time_ms.h"
#include "core/tokens.h"
