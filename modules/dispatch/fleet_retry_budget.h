#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <deque>

namespace jujubevalve
{

/// Limit on the retries to one service, for all instances of the fleet together.
struct fleet_retry_limit {
    double ratio{0.2};      ///< retries per request
    time_ms window{10'000}; ///< the limit holds in any window of this length
    std::int64_t slack{0};  ///< additional retries per window, for the whole fleet

    friend bool operator==(const fleet_retry_limit&, const fleet_retry_limit&) = default;
};

/// This instance's share of a fleet-wide limit on retries. Needs no communication: the ratio
/// applies to the instance's own requests, and the slack is divided among the instances. Not
/// synchronised.
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(fleet_retry_limit limit);

    /// Sets the number of instances that share the slack. A few more are allowed for, which may
    /// have joined before this instance learns of them.
    void set_instances(std::int64_t instances);

    /// Counts a caller's request; retries do not count.
    void add_request(time_ms now);

    /// Consumes one retry; returns false if none is left in the window.
    [[nodiscard]] bool take(time_ms now);

private:
    static void drop_before(std::deque<time_ms>& times, time_ms cutoff);

    fleet_retry_limit limit_;
    std::int64_t instances_{1};
    std::deque<time_ms> requests_;
    std::deque<time_ms> retries_;
};

} // namespace jujubevalve
