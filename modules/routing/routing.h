#pragma once

/// Umbrella header of the routing module: route matching, backend selection, admission queue and
/// retry budget.
#include "routing/admission_queue.h"
#include "routing/backend_selector.h"
#include "routing/load_report.h"
#include "routing/retry_budget.h"
#include "routing/route_matcher.h"
#include "routing/selector_policy.h"
#include "routing/server_set.h"
