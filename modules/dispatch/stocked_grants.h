#pragma once

#include "budget/grant_policy.h"

namespace jujubevalve
{

/// Settings of stocked_grants.
struct stocked_grants_options {
    time_ms horizon{10'000};       ///< an outage of the store that must refuse nobody
    std::int64_t limit_divisor{10}; ///< one grant holds at most this part of a budget
    std::int64_t floor_divisor{6};  ///< all instances together stock this part of what is free
};

/// Grant policy for instances that lose the store for seconds without warning: each keeps a stock
/// for two horizons of its demand, and a part of what is free even without demand, since callers
/// move to it when others fail. As a budget runs out, the stocks shrink to the instances' shares of
/// the rest, and to single requests in the end.
class stocked_grants
{
public:
    explicit stocked_grants(stocked_grants_options options = {});

    /// Tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_facts& facts) const;

    /// The available tokens to aim for.
    [[nodiscard]] token_count target(const grant_facts& facts) const;

private:
    stocked_grants_options options_;
};

static_assert(grant_policy<stocked_grants>);

} // namespace jujubevalve
