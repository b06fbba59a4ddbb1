#include "budget/reclaim_by_time.h"

namespace jujubevalve
{

reclaim_by_time::reclaim_by_time(time_ms lease, demand_driven base)
    : lease_{lease}
    , base_{base}
{
}

void reclaim_by_time::reclaim(ledger_row& ledger, grant_row& grant, token_count settled_spend)
{
    const auto unspent = grant.granted - settled_spend;
    grant.granted -= unspent;
    ledger.allocated -= unspent;
}

} // namespace jujubevalve
