#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

namespace jujubevalve
{

/// Exponential moving average of token demand. Corrects the bias of a short history, so that the
/// estimate of a new budget is not too low.
class demand_rate
{
public:
    /// `time_constant`: the time after which an observation has lost 63 % of its weight.
    /// `min_age`: the minimum time over which demand is averaged, so that a single early request
    /// does not count as a rate of its size per millisecond.
    explicit demand_rate(time_ms time_constant = minutes(5), time_ms min_age = seconds(10));

    /// Records demand at the time `now`.
    void add(token_count tokens, time_ms now);

    /// Changes demand that was recorded at the time `then` by `change`, which may be negative.
    void correct(token_count change, time_ms then);

    /// Returns the demand in tokens per millisecond.
    [[nodiscard]] double per_ms(time_ms now) const;

private:
    time_ms time_constant_;
    time_ms min_age_;
    time_ms first_{};
    time_ms last_{};
    double weighted_{0};
    bool started_{false};
};

} // namespace jujubevalve
