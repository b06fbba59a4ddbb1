#include "budget/demand_driven.h"

#include <algorithm>

namespace jujubevalve
{

demand_driven::demand_driven(time_ms horizon, std::int64_t limit_divisor)
    : horizon_{horizon}
    , limit_divisor_{std::max<std::int64_t>(1, limit_divisor)}
{
}

token_count demand_driven::target(const grant_facts& facts, token_count free) const
{
    const auto live = std::max<std::int64_t>(1, facts.live_instances);
    const auto bound =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, free) / live;
    return std::max(std::min(uncapped_target(facts), bound), facts.request);
}

token_count demand_driven::uncapped_target(const grant_facts& facts) const
{
    const auto stock =
        static_cast<token_count>(facts.demand_per_ms * 2 * static_cast<double>(horizon_.count()));
    // A death strands what is reserved as well as what is available.
    const auto most = std::max<token_count>(0, facts.limit / limit_divisor_ - facts.reserved);
    return std::max(std::min(std::max(stock, facts.shortage), most), facts.request);
}

token_count demand_driven::wanted(const grant_facts& facts) const
{
    const auto goal = target(facts, facts.free);
    const bool is_short =
        facts.available < (uncapped_target(facts) + 1) / 2 || facts.shortage > facts.available;
    if (!is_short) {
        return -surplus(facts);
    }
    // Less than one request cannot be used here, but perhaps by an instance with smaller ones.
    // Taken without need, it would be returned at once and taken again, in a transaction every few
    // ms.
    const auto least = facts.shortage > 0 ? std::min(facts.shortage, facts.request) : facts.request;
    if (facts.free <= 0 || facts.available + facts.free < least) {
        return -surplus(facts);
    }
    const auto step = std::clamp<token_count>(goal - facts.available, 0, facts.free);
    return facts.shortage == 0 && step < facts.request ? 0 : step;
}

token_count demand_driven::surplus(const grant_facts& facts) const
{
    // Below this part of the grantable tokens the instances compete for them.
    constexpr token_count low_free_divisor = 20;
    const bool is_low = facts.free < facts.grantable / low_free_divisor;
    if (!is_low || facts.available <= 0) {
        return 0;
    }
    if (facts.available < facts.request && facts.reserved == 0) {
        return facts.available;
    }
    const auto goal = target(facts, facts.free + facts.available);
    return facts.available > 2 * goal ? facts.available - goal : 0;
}

} // namespace jujubevalve
