#include "dispatch/grant_stock_policy.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// While little is free, a stock above this multiple of its target is reduced to the target.
constexpr std::int64_t surplus_factor = 3;
/// Below this fraction of the budget (1/n) the instances compete for what is free.
constexpr std::int64_t low_free_divisor = 20;
/// Fraction of this instance's share of the remaining tokens that it stocks. The rest stays free
/// for demand that moves to other instances.
constexpr double used_share = 0.8;
constexpr double home_used_share = 0.9;
/// Fraction of the target below which a stock is refilled. A home has its ledger to itself, so
/// it can refill often and hold nearly its target when an outage begins.
constexpr double refill_fraction = 0.5;
constexpr double home_refill_fraction = 0.8;
/// Min surplus that is returned when little is left, as a fraction (1/n) of a typical request.
constexpr std::int64_t min_return_divisor = 8;
/// Time whose demand is drawn at once and kept when little is left. With one write per request,
/// many instances would update one ledger faster than the store can.
constexpr time_ms scarce_demand_cover{1500};
/// A shortage is told this long before the remaining tokens are used up: instances tell each other
/// once a second, and a return takes a write at each of them.
constexpr time_ms shortage_notice{2500};
/// Min stock without demand, as a fraction (1/n) of the budget; below it nothing is stocked.
constexpr std::int64_t min_floor_divisor = 400;
/// Max tokens that one refill adds for refused and waiting requests, in multiples of the largest
/// recent request.
constexpr std::int64_t max_unmet_requests = 4;
} // namespace

grant_stock_policy::grant_stock_policy(grant_stock_options options)
    : options_{options}
{
}

double grant_stock_policy::share_of_demand(const grant_policy_input& facts) const
{
    const auto own = facts.demand_per_ms * 1000;
    return own > 0 ? own / (own + demand_elsewhere(facts)) : 0.0;
}

double grant_stock_policy::demand_elsewhere(const grant_policy_input& facts) const
{
    const auto found = demand_elsewhere_.find(facts.budget);
    return found == demand_elsewhere_.end() ? 0.0 : static_cast<double>(found->second);
}

token_count grant_stock_policy::unmet_tokens(const grant_policy_input& facts) const
{
    return std::min(std::max(facts.shortage, waiting_tokens(facts)),
                    max_unmet_requests * facts.request);
}

token_count grant_stock_policy::waiting_tokens(const grant_policy_input& facts) const
{
    const auto found = waiting_tokens_.find(facts.budget);
    return found == waiting_tokens_.end() ? 0 : found->second;
}

token_count grant_stock_policy::wanted_away_from_home(const grant_policy_input& facts) const
{
    const auto surplus = facts.available - waiting_tokens(facts);
    return surplus > 0 ? -std::min(surplus, std::max<token_count>(0, facts.available))
                       : std::min(-surplus, std::max<token_count>(0, facts.free));
}

bool grant_stock_policy::is_low(const grant_policy_input& facts) const
{
    const auto demand = facts.demand_per_ms + demand_elsewhere(facts) / 1000;
    const auto outage_demand =
        static_cast<token_count>(demand * static_cast<double>(options_.horizon.count()));
    return facts.free < std::max(facts.grantable / low_free_divisor, outage_demand);
}

token_count grant_stock_policy::share_of_remaining(const grant_policy_input& facts) const
{
    const auto remaining =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, facts.free);
    return static_cast<token_count>(share_of_demand(facts) * static_cast<double>(remaining));
}

bool grant_stock_policy::is_short_of_tokens(const grant_policy_input& facts) const
{
    if (facts.limit <= 0 || facts.demand_per_ms <= 0 || !is_low(facts)) {
        return false;
    }
    const auto remaining =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, facts.free);
    const auto upcoming_demand = static_cast<token_count>(
        facts.demand_per_ms * static_cast<double>(shortage_notice.count()));
    return facts.available < target(facts) / 2 || facts.available < facts.typical_request ||
           remaining < upcoming_demand;
}

void grant_stock_policy::set_roles(std::function<grant_role(std::string_view account)> roles)
{
    roles_ = std::move(roles);
    known_roles_.clear();
}

grant_role grant_stock_policy::role_of(std::string_view account) const
{
    if (!roles_) {
        return grant_role::shared;
    }
    const auto known = known_roles_.find(account);
    if (known != known_roles_.end()) {
        return known->second;
    }
    return known_roles_.emplace(account, roles_(account)).first->second;
}

std::int64_t grant_stock_policy::holders(const grant_policy_input& facts) const
{
    switch (role_of(facts.budget)) {
    case grant_role::home:
    case grant_role::standby:
        return 1;
    case grant_role::local:
        return 2; // with the home
    case grant_role::none:
    case grant_role::shared:
        break;
    }
    return std::max<std::int64_t>(1, facts.live_instances);
}

double grant_stock_policy::floor_stock(const grant_policy_input& facts, double remaining) const
{
    if (!stocks_ahead_) {
        return 0;
    }
    switch (role_of(facts.budget)) {
    case grant_role::none:
    case grant_role::local:
        return 0;
    case grant_role::shared:
        return remaining / static_cast<double>(holders(facts) * options_.floor_divisor);
    case grant_role::standby:
        return remaining / static_cast<double>(options_.standby_floor_divisor);
    case grant_role::home:
        break;
    }
    return remaining / static_cast<double>(options_.home_floor_divisor);
}

bool grant_stock_policy::is_scarce(const grant_policy_input& facts) const
{
    const auto remaining =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, facts.free);
    return remaining < holders(facts) * facts.typical_request;
}

token_count grant_stock_policy::scarce_target(const grant_policy_input& facts) const
{
    const auto upcoming_demand = static_cast<token_count>(
        facts.demand_per_ms * static_cast<double>(scarce_demand_cover.count()));
    return std::min(upcoming_demand, share_of_remaining(facts));
}

token_count grant_stock_policy::target(const grant_policy_input& facts) const
{
    if (is_scarce(facts)) {
        return std::max(unmet_tokens(facts), scarce_target(facts));
    }
    const bool is_home = role_of(facts.budget) == grant_role::home;
    const auto remaining = static_cast<double>(std::max<token_count>(0, facts.available) +
                                               std::max<token_count>(0, facts.free));
    const auto stock = facts.demand_per_ms * 2 * static_cast<double>(options_.horizon.count());
    const auto share =
        (is_home ? home_used_share : used_share) * static_cast<double>(share_of_remaining(facts));
    const auto floor = floor_stock(facts, remaining);
    const auto shortage = unmet_tokens(facts);
    const auto goal = static_cast<token_count>(std::max(std::min(stock, share), floor));
    if (facts.demand_per_ms <= 0 && shortage == 0 && goal < facts.limit / min_floor_divisor) {
        return 0; // too small a fraction of the budget to serve a request
    }
    return std::max({goal, facts.request, shortage});
}

token_count grant_stock_policy::wanted(const grant_policy_input& facts) const
{
    if (facts.first_grant && facts.limit == 0) {
        return 1; // no row has been read yet; the plan that this starts reads them first
    }
    if (role_of(facts.budget) == grant_role::none) {
        return wanted_away_from_home(facts);
    }
    const auto goal = target(facts);
    const auto free = std::max<token_count>(0, facts.free);
    if (is_scarce(facts)) {
        if (unmet_tokens(facts) > facts.available) {
            return std::clamp<token_count>(goal - facts.available, 0, free);
        }
        // Small remainders of settled requests are returned together with later ones.
        const auto surplus = facts.available - goal;
        return surplus > goal + facts.typical_request / min_return_divisor ? -surplus : 0;
    }
    const auto refill_below = static_cast<token_count>(
        (role_of(facts.budget) == grant_role::home ? home_refill_fraction : refill_fraction) *
        static_cast<double>(goal));
    if (facts.available < refill_below ||
        facts.available < std::min(facts.shortage, facts.request)) {
        const auto increase = std::clamp<token_count>(goal - facts.available, 0, free);
        // An amount too small for a request here might serve one at another instance.
        const auto min_useful =
            std::max(facts.typical_request, std::min(facts.shortage, facts.request));
        return facts.available + increase >= min_useful ? increase : 0;
    }
    return is_low(facts) && facts.available > surplus_factor * goal ? goal - facts.available : 0;
}

} // namespace jujubevalve
