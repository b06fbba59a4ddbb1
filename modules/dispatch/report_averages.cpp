#include "dispatch/report_averages.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Reports that the average load covers.
constexpr std::int64_t load_reports = 32;
} // namespace

void report_averages::add(const server_load& report)
{
    latest_percents_.at(static_cast<std::size_t>(count_ % median_reports)) =
        report.slowness_percent;
    ++count_;
    auto sorted = latest_percents_;
    const auto end = sorted.begin() + std::min(count_, median_reports);
    const auto median = sorted.begin() + (std::min(count_, median_reports) - 1) / 2;
    std::nth_element(sorted.begin(), median, end);
    slowness_ =
        static_cast<double>(*median) / static_cast<double>(server_load::usual_slowness_percent);
    load_ += (static_cast<double>(report.running + report.waiting) - load_) /
             static_cast<double>(std::min(count_, load_reports));
}

} // namespace jujubevalve
