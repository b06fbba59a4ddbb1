#pragma once

/// Umbrella header of the recovery module: closing the grants of incarnations that are gone.
#include "recovery/gone_evidence.h"
#include "recovery/recovery_command.h"
#include "recovery/recovery_plan.h"
