#include "dispatch/server_pace.h"

#include "dispatch/call_request.h"

#include <algorithm>

namespace jujubevalve
{

void server_pace::add(std::int64_t slowness_percent)
{
    latest_percents_.at(static_cast<std::size_t>(count_ % median_reports)) = slowness_percent;
    ++count_;
    const auto size = std::min(count_, median_reports);
    auto sorted = latest_percents_;
    auto* const median = sorted.begin() + (size - 1) / 2;
    std::nth_element(sorted.begin(), median, sorted.begin() + size);
    slowness_ =
        static_cast<double>(*median) / static_cast<double>(server_load::usual_slowness_percent);
}

} // namespace jujubevalve
