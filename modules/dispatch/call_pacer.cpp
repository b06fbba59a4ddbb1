#include "dispatch/call_pacer.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Capacity of the bucket, in seconds of this instance's rate.
constexpr double burst_seconds = 3;
/// Calls per second that each instance may always make, however many instances there are.
constexpr double min_rate_per_s = 2;
/// Fraction of the rate that the listed instances share if there are others.
constexpr double listed_fraction = 0.8;
constexpr time_ms initial_backoff{50};
constexpr time_ms max_backoff{800};
} // namespace

call_pacer::call_pacer(double fleet_rate_per_s)
    : fleet_rate_per_s_{fleet_rate_per_s}
{
}

void call_pacer::set_fleet(const instance_counts& fleet)
{
    fleet_ = fleet;
}

double call_pacer::rate_per_ms() const
{
    const auto unlisted = fleet_.live - fleet_.listed;
    const auto fraction = unlisted <= 0        ? 1.0
                          : fleet_.self_listed ? listed_fraction
                                               : 1 - listed_fraction;
    const auto sharers = std::max<std::int64_t>(1, fleet_.self_listed ? fleet_.listed : unlisted);
    const auto share = fraction * fleet_rate_per_s_ / static_cast<double>(sharers);
    return std::max(min_rate_per_s, share) / 1000;
}

bool call_pacer::may_call(time_ms now)
{
    const auto max_permits = rate_per_ms() * 1000 * burst_seconds;
    if (!started_) {
        started_ = true;
        permits_ = max_permits;
    }
    permits_ =
        std::min(max_permits,
                 permits_ + rate_per_ms() * static_cast<double>((now - last_refill_at_).count()));
    last_refill_at_ = now;
    return now >= backoff_until_ && permits_ >= 1;
}

void call_pacer::called()
{
    permits_ -= 1;
}

void call_pacer::conflicted()
{
    permits_ += 0.5;
}

void call_pacer::refused(time_ms now)
{
    const auto doublings = std::min<std::int64_t>(consecutive_refusals_++, 6);
    backoff_until_ = now + std::min(initial_backoff * (std::int64_t{1} << doublings), max_backoff);
}

void call_pacer::answered()
{
    consecutive_refusals_ = 0;
    backoff_until_ = time_ms{};
}

} // namespace jujubevalve
