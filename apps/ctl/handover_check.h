#pragma once

#include "ctl/command_result.h"
#include "ctl/ctl_context.h"

namespace jujubevalve
{

/// Checks whether the state of the platform agrees with itself: the log is gap-free and replays to
/// the tables; grants add up to the ledgers, which keep to the limits; transfers agree on both
/// sides; segments are gap-free and spend no more than the grants. Lists every disagreement.
command_result check_handover(const ctl_context& context);

} // namespace jujubevalve
