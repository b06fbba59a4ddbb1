#pragma once

#include "budget/grant_policy.h"

namespace jujubevalve
{

/// Baseline policy: grants each instance an equal share of the budget once and nothing later.
class static_shares
{
public:
    /// Returns the tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_policy_input& facts) const
    {
        return facts.first_grant ? facts.grantable / std::max<std::int64_t>(1, facts.live_instances)
                                 : 0;
    }
};

static_assert(grant_policy<static_shares>);

} // namespace jujubevalve
