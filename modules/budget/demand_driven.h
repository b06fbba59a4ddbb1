#pragma once

#include "budget/grant_policy.h"

namespace jujubevalve
{

/// Keeps tokens for two horizons of demand available, fewer when little of the budget is free.
class demand_driven
{
public:
    /// The share of the limit that one grant may hold bounds the tokens stranded by a death:
    /// at most 1 / `limit_divisor` of the limit.
    explicit demand_driven(time_ms horizon = minutes(70), std::int64_t limit_divisor = 1000);

    /// Tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_facts& facts) const;

    /// The available tokens to aim for when `free` tokens can be had.
    [[nodiscard]] token_count target(const grant_facts& facts, token_count free) const;

private:
    [[nodiscard]] token_count uncapped_target(const grant_facts& facts) const;
    [[nodiscard]] token_count surplus(const grant_facts& facts) const;

    time_ms horizon_;
    std::int64_t limit_divisor_;
};

static_assert(grant_policy<demand_driven>);

} // namespace jujubevalve
