#include "budget/demand_driven.h"

#include <algorithm>

namespace jujubevalve
{

demand_driven::demand_driven(time_ms horizon, std::int64_t limit_divisor)
    : horizon_{horizon}
    , limit_divisor_{std::max<std::int64_t>(1, limit_divisor)}
{
}

token_count demand_driven::target(const grant_policy_input& facts, token_count free) const
{
    const auto live = std::max<std::int64_t>(1, facts.live_instances);
    const auto max_reachable =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, free) / live;
    return std::max(std::min(uncapped_target(facts), max_reachable), facts.request);
}

token_count demand_driven::uncapped_target(const grant_policy_input& facts) const
{
    const auto expected_demand =
        static_cast<token_count>(facts.demand_per_ms * 2 * static_cast<double>(horizon_.count()));
    // The death of an instance strands its reserved tokens as well as its available tokens.
    const auto max_available =
        std::max<token_count>(0, facts.limit / limit_divisor_ - facts.reserved);
    return std::max(std::min(std::max(expected_demand, facts.shortage), max_available),
                    facts.request);
}

token_count demand_driven::wanted(const grant_policy_input& facts) const
{
    const auto target_tokens = target(facts, facts.free);
    const bool needs_refill =
        facts.available < (uncapped_target(facts) + 1) / 2 || facts.shortage > facts.available;
    if (!needs_refill) {
        return -surplus(facts);
    }
    // Fewer tokens than one request needs are left to instances with smaller requests. Without this
    // check, they would be fetched and returned in turn, with a transaction every few milliseconds.
    const auto min_usable =
        facts.shortage > 0 ? std::min(facts.shortage, facts.request) : facts.request;
    if (facts.free <= 0 || facts.available + facts.free < min_usable) {
        return -surplus(facts);
    }
    const auto increase = std::clamp<token_count>(target_tokens - facts.available, 0, facts.free);
    return facts.shortage == 0 && increase < facts.request ? 0 : increase;
}

token_count demand_driven::surplus(const grant_policy_input& facts) const
{
    // With less than 1 / 20 of the grantable tokens free, the instances compete for them.
    constexpr token_count low_free_divisor = 20;
    const bool is_low = facts.free < facts.grantable / low_free_divisor;
    if (!is_low || facts.available <= 0) {
        return 0;
    }
    if (facts.available < facts.request && facts.reserved == 0) {
        return facts.available;
    }
    const auto target_tokens = target(facts, facts.free + facts.available);
    return facts.available > 2 * target_tokens ? facts.available - target_tokens : 0;
}

} // namespace jujubevalve
