#pragma once

/// Umbrella header of the load module: callers that send requests to the fleet and check every
/// answer.
#include "load/address_cache.h"
#include "load/answer_checker.h"
#include "load/attempt_policy.h"
#include "load/caller_error.h"
#include "load/fleet_directory.h"
#include "load/instance_answer.h"
#include "load/load_account.h"
#include "load/load_driver.h"
#include "load/load_request.h"
#include "load/load_stats.h"
