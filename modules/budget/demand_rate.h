#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

namespace jujubevalve
{

/// Exponential moving average of token demand. Corrected for its own age, so that the estimate of
/// a budget that has just come into use is not too low.
class demand_rate
{
public:
    /// `time_constant`: the time after which an observation has lost 63 % of its weight.
    /// `least_age`: demand counts as spread over at least this time, so that a single request at
    /// the first moment is not a rate of its size per millisecond.
    explicit demand_rate(time_ms time_constant = minutes(5), time_ms least_age = seconds(10));

    /// Adds demand.
    void add(token_count tokens, time_ms now);

    /// Tokens per millisecond.
    [[nodiscard]] double per_ms(time_ms now) const;

private:
    time_ms time_constant_;
    time_ms least_age_;
    time_ms first_{};
    time_ms last_{};
    double weighted_{0};
    bool started_{false};
};

} // namespace jujubevalve
