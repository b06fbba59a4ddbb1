#pragma once

#include "budget/grant_policy.h"

namespace jujubevalve
{

/// Baseline policy: requests exactly the tokens that waiting requests lack, and returns the tokens
/// left after a settlement.
class platform_per_request
{
public:
    /// Returns the tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_policy_input& facts) const
    {
        if (facts.shortage > 0) {
            return std::max<token_count>(0, facts.shortage - facts.available);
        }
        // Tokens fetched for a waiting request stay until the request has reserved them.
        return facts.settled_since_grant ? -std::max<token_count>(0, facts.available) : 0;
    }
};

static_assert(grant_policy<platform_per_request>);

} // namespace jujubevalve
