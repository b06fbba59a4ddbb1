#pragma once

#include "budget/grant_policy.h"

namespace jujubevalve
{

/// Grant policy that keeps tokens for two horizons of demand available, or fewer if few tokens of
/// the budget are free.
class demand_driven
{
public:
    /// The available and reserved tokens of one grant are kept within 1 / `limit_divisor` of the
    /// limit, which bounds the tokens stranded by the death of an instance.
    explicit demand_driven(time_ms horizon = minutes(70), std::int64_t limit_divisor = 1000);

    /// Returns the tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_policy_input& facts) const;

    /// Returns the target for the available tokens if the ledger has `free` tokens.
    [[nodiscard]] token_count target(const grant_policy_input& facts, token_count free) const;

private:
    [[nodiscard]] token_count uncapped_target(const grant_policy_input& facts) const;
    [[nodiscard]] token_count surplus(const grant_policy_input& facts) const;

    time_ms horizon_;
    std::int64_t limit_divisor_;
};

static_assert(grant_policy<demand_driven>);

} // namespace jujubevalve
