#include "dispatch/fleet_retry_budget.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Part of the ratio that is used, as the window is measured elsewhere and later.
constexpr double used_part = 0.8;
/// Instances that may join before the others know of them.
constexpr std::int64_t spare_instances = 4;
} // namespace

fleet_retry_budget::fleet_retry_budget(fleet_retry_limit limit)
    : limit_{limit}
{
}

void fleet_retry_budget::set_instances(std::int64_t instances)
{
    instances_ = std::max<std::int64_t>(1, instances);
}

void fleet_retry_budget::add_request(time_ms now)
{
    requests_.push_back(now);
    drop_before(requests_, now - limit_.window);
}

bool fleet_retry_budget::take(time_ms now)
{
    drop_before(requests_, now - limit_.window);
    drop_before(repeats_, now - limit_.window);
    const auto slack =
        static_cast<double>(limit_.slack) / static_cast<double>(instances_ + spare_instances);
    const auto allowed = used_part * (limit_.ratio * static_cast<double>(requests_.size()) + slack);
    if (static_cast<double>(repeats_.size()) + 1 > allowed) {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

void fleet_retry_budget::drop_before(std::deque<time_ms>& times, time_ms limit)
{
    while (!times.empty() && times.front() < limit) {
        times.pop_front();
    }
}

} // namespace jujubevalve
