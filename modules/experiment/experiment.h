#pragma once

/// Umbrella header of the experiment module: a discrete-event simulation of the fleet.
#include "experiment/deployment.h"
#include "experiment/event_queue.h"
#include "experiment/invariant_checker.h"
#include "experiment/run_report.h"
#include "experiment/scenario.h"
