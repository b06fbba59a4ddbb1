#include "dispatch/server_pace.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Slowness of a server whose work takes its usual time.
constexpr double usual_percent = 100;
/// Reports that the average load covers.
constexpr std::int64_t load_reports = 32;
} // namespace

void server_pace::add(const server_load& report)
{
    if (!report.slowness_percent) {
        return;
    }
    latest_percents_.at(static_cast<std::size_t>(count_ % median_reports)) =
        *report.slowness_percent;
    ++count_;
    const auto size = std::min(count_, median_reports);
    auto sorted = latest_percents_;
    auto* const median = sorted.begin() + (size - 1) / 2;
    std::nth_element(sorted.begin(), median, sorted.begin() + size);
    slowness_ = static_cast<double>(*median) / usual_percent;
    average_load_ += (static_cast<double>(report.running + report.waiting) - average_load_) /
                     static_cast<double>(std::min(count_, load_reports));
}

} // namespace jujubevalve
