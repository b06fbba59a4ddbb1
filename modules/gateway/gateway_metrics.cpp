#include "gateway/gateway_metrics.h"

#include <algorithm>
#include <iterator>

namespace jujubevalve
{

void gateway_metrics::count(std::string_view name, std::int64_t by)
{
    counters_.at(name) += by;
}

void gateway_metrics::observe(std::string_view name, time_ms duration)
{
    auto found = histograms_.find(name);
    if (found == histograms_.end()) {
        found = histograms_.emplace(std::string{name}, histogram{}).first;
    }
    auto& item = found->second;
    const auto* const bound =
        std::lower_bound(bucket_bounds.begin(), bucket_bounds.end(), duration.count());
    ++item.buckets.at(static_cast<std::size_t>(std::distance(bucket_bounds.begin(), bound)));
    ++item.count;
    item.sum_ms += duration.count();
}

std::string gateway_metrics::to_text() const
{
    auto text = counters_.to_text();
    for (const auto& [name, item] : histograms_) {
        std::int64_t up_to = 0;
        for (std::size_t i = 0; i < item.buckets.size(); ++i) {
            up_to += item.buckets.at(i);
            const auto bound =
                i < bucket_bounds.size() ? std::to_string(bucket_bounds.at(i)) : "+Inf";
            text.append(name).append("_ms_bucket{le=\"").append(bound).append("\"} ");
            text.append(std::to_string(up_to)).append("\n");
        }
        text.append(name).append("_ms_sum ").append(std::to_string(item.sum_ms)).append("\n");
        text.append(name).append("_ms_count ").append(std::to_string(item.count)).append("\n");
    }
    return text;
}

} // namespace jujubevalve
