#include "dispatch/stocked_grants.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Stock over the target, in multiples of it, that is returned while others lack tokens.
constexpr std::int64_t surplus_factor = 3;
/// Below this part of the budget the instances compete for what is free.
constexpr std::int64_t low_free_divisor = 20;
/// Part of the own share of the rest that is taken, so that demand that moves finds some.
constexpr double share_used = 0.8;
/// Least stock that is returned when little is left, as a part of a request.
constexpr std::int64_t least_return_divisor = 8;
/// Demand for which tokens are drawn together and kept when little is left. With a write for each
/// request many instances would change one ledger faster than the store can.
constexpr time_ms scarce_cover{1500};
/// Least stock without demand, as a part of the budget.
constexpr std::int64_t least_floor_divisor = 400;
/// Refused requests that one refill makes up for, in multiples of the largest.
constexpr std::int64_t most_shortage = 4;
} // namespace

stocked_grants::stocked_grants(stocked_grants_options options)
    : options_{options}
{
}

double stocked_grants::share_of_demand(const grant_facts& facts) const
{
    const auto own = facts.demand_per_ms * 1000;
    return own > 0 ? own / (own + demand_elsewhere(facts)) : 0.0;
}

double stocked_grants::demand_elsewhere(const grant_facts& facts) const
{
    const auto found = elsewhere_.find(facts.budget);
    return found == elsewhere_.end() ? 0.0 : static_cast<double>(found->second);
}

token_count stocked_grants::missing(const grant_facts& facts) const
{
    const auto found = waiting_.find(facts.budget);
    const auto waiting = found == waiting_.end() ? 0 : found->second;
    return std::min(std::max(facts.shortage, waiting), most_shortage * facts.request);
}

bool stocked_grants::is_low(const grant_facts& facts) const
{
    const auto demand = facts.demand_per_ms + demand_elsewhere(facts) / 1000;
    const auto outage =
        static_cast<token_count>(demand * static_cast<double>(options_.horizon.count()));
    return facts.free < std::max(facts.grantable / low_free_divisor, outage);
}

token_count stocked_grants::share_of_rest(const grant_facts& facts) const
{
    const auto rest =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, facts.free);
    return static_cast<token_count>(share_of_demand(facts) * static_cast<double>(rest));
}

bool stocked_grants::is_short(const grant_facts& facts) const
{
    return facts.limit > 0 && is_low(facts) &&
           (facts.available < target(facts) / 2 || facts.available < facts.typical_request) &&
           facts.demand_per_ms > 0;
}

bool stocked_grants::is_scarce(const grant_facts& facts)
{
    const auto live = std::max<std::int64_t>(1, facts.live_instances);
    const auto rest =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, facts.free);
    return rest < live * facts.typical_request;
}

token_count stocked_grants::kept_when_scarce(const grant_facts& facts) const
{
    const auto soon =
        static_cast<token_count>(facts.demand_per_ms * static_cast<double>(scarce_cover.count()));
    return std::min(soon, share_of_rest(facts));
}

token_count stocked_grants::target(const grant_facts& facts) const
{
    if (is_scarce(facts)) {
        return std::max(missing(facts), kept_when_scarce(facts));
    }
    const auto live = std::max<std::int64_t>(1, facts.live_instances);
    const auto rest = static_cast<double>(std::max<token_count>(0, facts.available) +
                                          std::max<token_count>(0, facts.free));
    const auto stock = facts.demand_per_ms * 2 * static_cast<double>(options_.horizon.count());
    const auto share = share_used * static_cast<double>(share_of_rest(facts));
    const auto floor = rest / static_cast<double>(live * options_.floor_divisor);
    const auto shortage = missing(facts);
    const auto goal = static_cast<token_count>(std::max(std::min(stock, share), floor));
    if (facts.demand_per_ms <= 0 && shortage == 0 && goal < facts.limit / least_floor_divisor) {
        return 0; // too small a part of the budget to serve a request
    }
    return std::max({goal, facts.request, shortage});
}

token_count stocked_grants::wanted(const grant_facts& facts) const
{
    if (facts.first_grant && facts.limit == 0) {
        return 1; // nothing has been read yet; the plan reads first
    }
    const auto goal = target(facts);
    const auto free = std::max<token_count>(0, facts.free);
    if (is_scarce(facts)) {
        if (missing(facts) > facts.available) {
            return std::clamp<token_count>(goal - facts.available, 0, free);
        }
        // Small rests of settled requests are returned together with later ones.
        const auto surplus = facts.available - goal;
        return surplus > goal + facts.typical_request / least_return_divisor ? -surplus : 0;
    }
    if (facts.available < goal / 2 || facts.available < std::min(facts.shortage, facts.request)) {
        const auto step = std::clamp<token_count>(goal - facts.available, 0, free);
        // A grant that serves no request here might serve one elsewhere.
        const auto useful =
            std::max(facts.typical_request, std::min(facts.shortage, facts.request));
        return facts.available + step >= useful ? step : 0;
    }
    return is_low(facts) && facts.available > surplus_factor * goal ? goal - facts.available : 0;
}

} // namespace jujubevalve
