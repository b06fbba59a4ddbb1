#pragma once

/// Umbrella header of the recovery module, which reclaims the grants of terminated incarnations.
#include "recovery/recovery_command.h"
#include "recovery/recovery_plan.h"
#include "recovery/termination_proof.h"
