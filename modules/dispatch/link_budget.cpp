#include "dispatch/link_budget.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Share of a link's speed that is left for payload after the headers of TCP, IP and the link.
constexpr double payload_share = 0.94;
/// Time over which the use of the link is measured, and between the samples for it.
constexpr time_ms measured_time{300};
constexpr time_ms sample_interval{20};
/// Use from which on a queue has probably built up; a full link is measured at 0.95 and more.
constexpr double congested_use = 0.85;
} // namespace

link_budget::link_budget(double link_mbps)
    : bytes_per_ms_{link_mbps * 1e6 / 8 / 1000 * payload_share}
{
}

void link_budget::observe(const link_traffic& total, time_ms now)
{
    if (!samples_.empty() && now - samples_.back().at < sample_interval) {
        return;
    }
    samples_.push_back({now, total});
    while (samples_.size() > 2 && now - samples_[1].at >= measured_time) {
        samples_.pop_front();
    }
}

bool link_budget::is_congested() const
{
    if (samples_.size() < 2 || samples_.back().at - samples_.front().at < measured_time) {
        return false;
    }
    const auto& first = samples_.front();
    const auto& last = samples_.back();
    const auto bytes =
        std::max(last.total.received - first.total.received, last.total.sent - first.total.sent);
    return static_cast<double>(bytes) >
           congested_use * bytes_per_ms_ * static_cast<double>((last.at - first.at).count());
}

} // namespace jujubevalve
