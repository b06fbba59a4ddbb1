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
} // namespace

stocked_grants::stocked_grants(stocked_grants_options options)
    : options_{options}
{
}

token_count stocked_grants::target(const grant_facts& facts) const
{
    const auto live = std::max<std::int64_t>(1, facts.live_instances);
    const auto available = std::max<token_count>(0, facts.available);
    const auto free = std::max<token_count>(0, facts.free);
    const auto demand = static_cast<token_count>(
        facts.demand_per_ms * 2 * static_cast<double>(options_.horizon.count()));
    const auto floor = free / (live * options_.floor_divisor);
    // What is reserved is stranded by a death as well as what is available.
    const auto most =
        std::max<token_count>(0, facts.limit / options_.limit_divisor - facts.reserved);
    const auto stock = std::min(std::max(demand, floor), most);
    // An equal share of the rest, the own stock included.
    const auto share = (free + available) / live;
    return std::max({std::min(stock, share), facts.request, facts.shortage});
}

token_count stocked_grants::wanted(const grant_facts& facts) const
{
    if (facts.first_grant && facts.limit == 0) {
        return 1; // nothing has been read yet; the plan reads first
    }
    const auto goal = target(facts);
    const auto free = std::max<token_count>(0, facts.free);
    if (facts.available < goal / 2 || facts.available < facts.shortage) {
        const auto step = std::min(goal - facts.available, free);
        // A grant that serves no request here might serve one elsewhere.
        return facts.available + step >= facts.request ? std::max<token_count>(0, step) : 0;
    }
    const bool is_low = free < facts.grantable / low_free_divisor;
    return is_low && facts.available > surplus_factor * goal ? goal - facts.available : 0;
}

} // namespace jujubevalve
