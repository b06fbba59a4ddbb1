#pragma once

#include "budget/grant_policy.h"

namespace jujubevalve
{

/// Baseline: fetches exactly the reservations that wait, and returns what a settlement leaves over.
class platform_per_request
{
public:
    /// Tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_facts& facts) const
    {
        if (facts.shortage > 0) {
            return std::max<token_count>(0, facts.shortage - facts.available);
        }
        // Tokens that were fetched for a waiting request stay until it has taken them.
        return facts.settled_since_grant ? -std::max<token_count>(0, facts.available) : 0;
    }
};

static_assert(grant_policy<platform_per_request>);

} // namespace jujubevalve
