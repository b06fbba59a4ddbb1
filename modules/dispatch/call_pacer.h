#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// Keeps this instance's calls to a shared service below its part of the service's rate, and pauses
/// after the service has refused. Not synchronised.
class call_pacer
{
public:
    /// `fleet_rate`: calls a second that all instances may make together.
    explicit call_pacer(double fleet_rate);

    /// Instances that share the rate.
    void set_instances(std::int64_t instances);

    /// Whether a call may be made now.
    [[nodiscard]] bool may_call(time_ms now);
    /// A call is made.
    void called();
    /// A call met with a conflict. Its repetition, with the rows that it brought, costs half as
    /// much, as it is likely to succeed if it comes at once.
    void conflicted();

    /// The service refused a call, or could not be reached: the pause doubles each time.
    void refused(time_ms now);
    /// The service has answered.
    void answered();

private:
    [[nodiscard]] double rate_per_ms() const;

    double fleet_rate_;
    std::int64_t instances_{1};
    double saved_{0};
    time_ms last_{};
    bool started_{false};
    std::int64_t refusals_{0};
    time_ms paused_until_{};
};

} // namespace jujubevalve
