#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// Interval between a router's reads of something that every router reads for itself. Up to
/// `small_fleet` live instances it is `base`; beyond, it grows with their number, so that all
/// routers together load the platform as nine do. `longest` bounds it; it is never below `base`.
time_ms poll_interval(time_ms base, std::int64_t live_instances, time_ms max_interval);

/// Size of today's deployments.
inline constexpr std::int64_t base_fleet_size = 9;

} // namespace jujubevalve
