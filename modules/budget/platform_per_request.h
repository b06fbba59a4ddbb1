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
        return facts.shortage - facts.available;
    }
};

static_assert(grant_policy<platform_per_request>);

} // namespace jujubevalve
