#include "dispatch/call_pacer.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Calls that an idle time saves up, in seconds of the own rate.
constexpr double saved_seconds = 3;
/// However many instances there are, each may make so many calls a second.
constexpr double least_rate = 2;
constexpr time_ms first_pause{50};
constexpr time_ms longest_pause{800};
} // namespace

call_pacer::call_pacer(double fleet_rate)
    : fleet_rate_{fleet_rate}
{
}

void call_pacer::set_instances(std::int64_t instances)
{
    instances_ = std::max<std::int64_t>(1, instances);
}

double call_pacer::rate_per_ms() const
{
    return std::max(least_rate, fleet_rate_ / static_cast<double>(instances_)) / 1000;
}

bool call_pacer::may_call(time_ms now)
{
    const auto most = rate_per_ms() * 1000 * saved_seconds;
    if (!started_) {
        started_ = true;
        saved_ = most;
    }
    saved_ = std::min(most, saved_ + rate_per_ms() * static_cast<double>((now - last_).count()));
    last_ = now;
    return now >= paused_until_ && saved_ >= 1;
}

void call_pacer::called()
{
    saved_ -= 1;
}

void call_pacer::conflicted()
{
    saved_ += 0.5;
}

void call_pacer::refused(time_ms now)
{
    const auto doublings = std::min<std::int64_t>(refusals_++, 6);
    paused_until_ = now + std::min(first_pause * (std::int64_t{1} << doublings), longest_pause);
}

void call_pacer::answered()
{
    refusals_ = 0;
    paused_until_ = time_ms{};
}

} // namespace jujubevalve
