#pragma once

#include "core/counters.h"
#include "core/time_ms.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Counters and latency histograms of a gateway process.
class gateway_metrics
{
public:
    /// Adds `amount` to a counter.
    void count(std::string_view name, std::int64_t amount = 1);

    /// Adds a duration to a histogram.
    void observe(std::string_view name, time_ms duration);

    /// Returns all counters and histograms as text, one value per line.
    [[nodiscard]] std::string to_text() const;

private:
    /// Upper bounds of the histogram buckets in ms; an additional last bucket has no bound.
    static constexpr std::array<std::int64_t, 12> bucket_bounds_ms{
        2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000};
    struct histogram {
        std::array<std::int64_t, bucket_bounds_ms.size() + 1> buckets{};
        std::int64_t count{0};
        std::int64_t sum_ms{0};
    };

    counters counters_;
    std::map<std::string, histogram, std::less<>> histograms_;
};

} // namespace jujubevalve
