#include "router/poll_interval.h"

#include <algorithm>

namespace jujubevalve
{

time_ms poll_interval(time_ms base, std::int64_t live_instances, time_ms max_interval)
{
    const auto live = std::max(live_instances, base_fleet_size);
    const time_ms scaled{base.count() * live / base_fleet_size};
    return std::max(base, std::min(scaled, max_interval));
}

} // namespace jujubevalve
