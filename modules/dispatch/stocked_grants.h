#pragma once

#include "budget/grant_policy.h"

#include <map>
#include <string>

namespace jujubevalve
{

/// Tokens per second by account.
using account_demand = std::map<std::string, token_count, std::less<>>;

/// Settings of stocked_grants.
struct stocked_grants_options {
    time_ms horizon{10'000};        ///< an outage of the store that must refuse nobody
    std::int64_t floor_divisor{16}; ///< all instances together stock this part of what is free
};

/// Grant policy for instances that lose the store for seconds without warning: each keeps a stock
/// for up to two horizons of its demand, and a part of what is free even without demand, since
/// callers move to it when others fail. As a budget runs out, the stocks shrink to the instances'
/// shares of the rest by their demand. When only a few requests are left, an instance draws only
/// for requests that wait and for the moments after them, so that the rest serves whoever asks.
class stocked_grants
{
public:
    explicit stocked_grants(stocked_grants_options options = {});

    /// Demand of the other instances, as they last published it.
    void set_demand_elsewhere(account_demand demand) { elsewhere_ = std::move(demand); }

    /// Tokens that requests wait for, by account; they are kept until the requests have them.
    void set_waiting(account_demand waiting) { waiting_ = std::move(waiting); }

    /// Tokens to add or return, see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_facts& facts) const;

    /// Whether the own stock is far below its target and little is free: others should return
    /// what they do not need.
    [[nodiscard]] bool is_short(const grant_facts& facts) const;

    /// The own share, by demand, of what is left of the budget as far as known.
    [[nodiscard]] token_count share_of_rest(const grant_facts& facts) const;

    /// The available tokens to aim for.
    [[nodiscard]] token_count target(const grant_facts& facts) const;

private:
    /// Whether so little is left that stocks would leave it in pieces too small for a request.
    [[nodiscard]] static bool is_scarce(const grant_facts& facts);

    /// Whether what is free would not last for an outage.
    [[nodiscard]] bool is_low(const grant_facts& facts) const;
    [[nodiscard]] double demand_elsewhere(const grant_facts& facts) const;

    /// The stock that the own demand justifies when little is left.
    [[nodiscard]] token_count kept_when_scarce(const grant_facts& facts) const;

    /// Tokens that refused and waiting requests lack, as far as one refill makes up for them.
    [[nodiscard]] token_count missing(const grant_facts& facts) const;

    /// The part of the fleet's demand that arrives here, 0 to 1.
    [[nodiscard]] double share_of_demand(const grant_facts& facts) const;

    stocked_grants_options options_;
    account_demand elsewhere_;
    account_demand waiting_;
};

static_assert(grant_policy<stocked_grants>);

} // namespace jujubevalve
