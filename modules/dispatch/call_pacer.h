#pragma once

#include "core/time_ms.h"
#include "dispatch/instance_registry.h"

#include <cstdint>

namespace jujubevalve
{

/// Token bucket that limits this instance's calls to a shared service to its share of the fleet's
/// rate, with exponential back-off after refusals. Not synchronised.
class call_pacer
{
public:
    /// `fleet_rate_per_s`: calls per second that all instances together may make.
    explicit call_pacer(double fleet_rate_per_s);

    /// Sets the instances that share the rate. Most of it goes to the listed ones, since the others
    /// have hardly any callers.
    void set_fleet(const instance_counts& fleet);

    /// Returns whether a call may be made now.
    [[nodiscard]] bool may_call(time_ms now);
    /// Takes one permit for a call that is being made.
    void called();
    /// Refunds half a permit after a conflict: an immediate retry is likely to succeed, since the
    /// response carried the current rows.
    void conflicted();

    /// Starts a back-off after the service refused a call or was unreachable. The delay doubles
    /// each time.
    void refused(time_ms now);
    /// Ends the back-off after the service responded.
    void answered();

private:
    [[nodiscard]] double rate_per_ms() const;

    double fleet_rate_per_s_;
    instance_counts fleet_;
    double permits_{0};
    time_ms last_refill_at_{};
    bool started_{false}; ///< the bucket has been filled for the first time
    std::int64_t consecutive_refusals_{0};
    time_ms backoff_until_{};
};

} // namespace jujubevalve
