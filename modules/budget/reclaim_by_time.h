#pragma once

#include "budget/demand_driven.h"
#include "budget/grant_row.h"
#include "budget/ledger_row.h"

namespace jujubevalve
{

/// Unsafe policy, only for the experiment and the tests. Reclaims a grant whose holder has not
/// renewed it within the lease, although a paused or partitioned holder can still spend it.
class reclaim_by_time
{
public:
    explicit reclaim_by_time(time_ms lease = minutes(1), demand_driven base = demand_driven{});

    /// Returns the tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_policy_input& facts) const
    {
        return base_.wanted(facts);
    }

    /// Returns whether the lease of a grant that was last renewed at `renewed` has expired.
    [[nodiscard]] bool expired(time_ms renewed, time_ms now) const
    {
        return now - renewed > lease_;
    }

    /// Reduces both rows by the granted tokens above the settled spend.
    static void reclaim(ledger_row& ledger, grant_row& grant, token_count settled_spend);

private:
    time_ms lease_;
    demand_driven base_;
};

static_assert(grant_policy<reclaim_by_time>);

} // namespace jujubevalve
