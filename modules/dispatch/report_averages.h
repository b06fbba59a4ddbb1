#pragma once

#include "dispatch/call_request.h"

#include <array>
#include <cstdint>

namespace jujubevalve
{

/// What lasts in the load reports of a server. An instance mostly reads a report long before the
/// next request that might go to the server, when its figures have changed.
class report_averages
{
public:
    void add(const server_load& report);

    [[nodiscard]] bool is_empty() const { return count_ == 0; }

    /// Returns how long work mostly takes at the server, relative to the usual time; `otherwise`
    /// without a report. All instances that have read some reports return nearly the same.
    [[nodiscard]] double slowness(double otherwise) const
    {
        return is_empty() ? otherwise : slowness_;
    }
    /// Returns the requests that run or wait at the server on average; `otherwise` without a
    /// report.
    [[nodiscard]] double load(double otherwise) const { return is_empty() ? otherwise : load_; }

    friend bool operator==(const report_averages&, const report_averages&) = default;

private:
    /// Reports from which the median is taken. A machine that works more slowly for good shows it
    /// after half as many.
    static constexpr std::int64_t median_reports = 15;

    std::int64_t count_{0};
    std::array<std::int64_t, median_reports> latest_percents_{}; ///< cyclic
    double slowness_{1};
    double load_{0};
};

/// Averages over the servers of a service.
struct service_averages {
    double slowness{1};
    double load{0};

    friend bool operator==(const service_averages&, const service_averages&) = default;
};

} // namespace jujubevalve
