#pragma once

/// Umbrella header of the experiment module: scenarios under a virtual clock with an arbiter.
#include "experiment/arbiter.h"
#include "experiment/deployment.h"
#include "experiment/event_queue.h"
#include "experiment/run_report.h"
#include "experiment/scenario.h"
