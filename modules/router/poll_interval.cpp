#include "router/poll_interval.h"

#include <algorithm>

namespace jujubevalve
{

time_ms poll_interval(time_ms base, std::int64_t live_instances, time_ms longest)
{
    const auto live = std::max(live_instances, small_fleet);
    const time_ms grown{base.count() * live / small_fleet};
    return std::max(base, std::min(grown, longest));
}

} // namespace jujubevalve
