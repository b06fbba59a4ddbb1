#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// Returns the interval at which a router polls data that every router polls for itself. It is
/// `base` for up to `base_fleet_size` live instances. Above that it grows in proportion to their
/// number, up to `max_interval`, so that the total load on the platform stays constant until then.
/// Never less than `base`.
time_ms poll_interval(time_ms base, std::int64_t live_instances, time_ms max_interval);

/// Number of live instances that poll at the base interval; today's deployments have up to nine.
inline constexpr std::int64_t base_fleet_size = 9;

} // namespace jujubevalve
