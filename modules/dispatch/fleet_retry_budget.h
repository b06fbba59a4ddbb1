#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <deque>

namespace jujubevalve
{

/// The bound that all instances of the fleet keep together for one service.
struct fleet_retry_limit {
    double ratio{0.2};      ///< repeats for each request
    time_ms window{10'000}; ///< any span of this length counts
    std::int64_t slack{0};  ///< further repeats in a window, of the whole fleet

    friend bool operator==(const fleet_retry_limit&, const fleet_retry_limit&) = default;
};

/// This instance's part of a fleet-wide bound on repeats, without exchanging anything: the ratio
/// applies to its own requests, the slack is divided by the instances. Not synchronised.
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(fleet_retry_limit limit);

    /// Instances that share the slack; more of them may appear before this one learns of it.
    void set_instances(std::int64_t instances);

    void add_request(time_ms now);

    /// Takes one repeat; false if none is left in the window.
    [[nodiscard]] bool take(time_ms now);

private:
    static void drop_before(std::deque<time_ms>& times, time_ms limit);

    fleet_retry_limit limit_;
    std::int64_t instances_{1};
    std::deque<time_ms> requests_;
    std::deque<time_ms> repeats_;
};

} // namespace jujubevalve
