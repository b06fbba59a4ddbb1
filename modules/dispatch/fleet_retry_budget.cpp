#include "dispatch/fleet_retry_budget.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Fraction of the limit that is used. Its windows are measured elsewhere and later, so they differ
/// from those of this instance.
constexpr double used_fraction = 0.8;
/// Instances that may have joined without this one knowing of them yet.
constexpr std::int64_t unseen_instances = 4;
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
    drop_before(retries_, now - limit_.window);
    const auto slack =
        static_cast<double>(limit_.slack) / static_cast<double>(instances_ + unseen_instances);
    const auto allowed =
        used_fraction * (limit_.ratio * static_cast<double>(requests_.size()) + slack);
    if (static_cast<double>(retries_.size()) + 1 > allowed) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

void fleet_retry_budget::drop_before(std::deque<time_ms>& times, time_ms cutoff)
{
    while (!times.empty() && times.front() < cutoff) {
        times.pop_front();
    }
}

} // namespace jujubevalve
