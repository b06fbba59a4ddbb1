#pragma once

#include "ctl/command_result.h"
#include "ctl/ctl_context.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// Writes the first term row and configuration version 0 to an empty platform.
command_result init_platform(const ctl_context& context, const std::string& operator_name,
                             std::int64_t term);

/// Starts a new term. From then on every transaction of processes started with an older term
/// fails. `term` must be higher than the one in force.
command_result begin_handover(const ctl_context& context, std::int64_t term,
                              const std::string& new_operator);

} // namespace jujubevalve
