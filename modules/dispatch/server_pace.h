#pragma once

#include "dispatch/call_request.h"

#include <array>
#include <cstdint>

namespace jujubevalve
{

/// How fast a server works and how busy it is, from the load reports of a server that shares its
/// machine with others. The figures change many times a second, and an instance mostly reads them
/// long before the next request that might go to the server; what lasts are the median slowness
/// and the average load of the latest reports.
class server_pace
{
public:
    /// Adds a report, unless it states no slowness.
    void add(const server_load& report);

    [[nodiscard]] bool is_known() const { return count_ > 0; }

    /// Returns how long work mostly takes at the server, relative to the usual time; `otherwise`
    /// if not known. Instances that have read different reports return nearly the same.
    [[nodiscard]] double slowness(double otherwise) const
    {
        return is_known() ? slowness_ : otherwise;
    }
    /// Returns the average number of requests that run or wait there; 0 if not known.
    [[nodiscard]] double average_load() const { return average_load_; }

    friend bool operator==(const server_pace&, const server_pace&) = default;

private:
    /// A machine that works more slowly for good shows it after half as many reports.
    static constexpr std::int64_t median_reports = 15;

    std::int64_t count_{0};
    std::array<std::int64_t, median_reports> latest_percents_{}; ///< cyclic
    double slowness_{1};
    double average_load_{0};
};

} // namespace jujubevalve
