#include "gateway/gateway_metrics.h"

#include <algorithm>
#include <iterator>

namespace jujubevalve
{

void gateway_metrics::count(std::string_view name, std::int64_t amount)
{
    counters_.at(name) += amount;
}

void gateway_metrics::observe(std::string_view name, time_ms duration)
{
    auto found = histograms_.find(name);
    if (found == histograms_.end()) {
        found = histograms_.emplace(std::string{name}, histogram{}).first;
    }
    auto& entry = found->second;
    const auto* const bound =
        std::lower_bound(bucket_bounds_ms.begin(), bucket_bounds_ms.end(), duration.count());
    ++entry.buckets.at(static_cast<std::size_t>(std::distance(bucket_bounds_ms.begin(), bound)));
    ++entry.count;
    entry.sum_ms += duration.count();
}

std::string gateway_metrics::to_text() const
{
    auto text = counters_.to_text();
    for (const auto& [name, entry] : histograms_) {
        std::int64_t cumulative_count = 0;
        for (std::size_t i = 0; i < entry.buckets.size(); ++i) {
            cumulative_count += entry.buckets.at(i);
            const auto bound =
                i < bucket_bounds_ms.size() ? std::to_string(bucket_bounds_ms.at(i)) : "+Inf";
            text.append(name).append("_ms_bucket{le=\"").append(bound).append("\"} ");
            text.append(std::to_string(cumulative_count)).append("\n");
        }
        text.append(name).append("_ms_sum ").append(std::to_string(entry.sum_ms)).append("\n");
        text.append(name).append("_ms_count ").append(std::to_string(entry.count)).append("\n");
    }
    return text;
}

} // namespace jujubevalve
