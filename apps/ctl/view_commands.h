#pragma once

#include "ctl/command_result.h"
#include "ctl/ctl_context.h"

#include <cstddef>

namespace jujubevalve
{

/// Shows limit, safety margin, granted, spent and free tokens of each budget. `spent` is read from
/// the newest segments, at most `max_segments` for each incarnation.
command_result show_budgets(const ctl_context& context, std::size_t max_segments = 1000);

/// Shows the incarnations that have a row, and what the platform's instance list says of them.
command_result show_instances(const ctl_context& context);

/// Shows the newest versions of the configuration.
command_result show_versions(const ctl_context& context, std::size_t limit = 20);

/// Shows the newest entries of the audit trail: applies, handovers, recoveries.
command_result show_audit(const ctl_context& context, std::size_t limit = 50);

} // namespace jujubevalve
