#pragma once

#include "budget/grant_policy.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Tokens per second by account.
using account_demand = std::map<std::string, token_count, std::less<>>;

/// What this instance does for an account's budget.
enum class grant_role {
    none,    ///< other instances hold its grants; draws only for requests that wait here
    local,   ///< holds grants for its own callers, from whom much of the account's demand comes
    shared,  ///< one of several equal holders
    standby, ///< keeps a small stock for the time when the home fails
    home     ///< holds the grants for all other callers
};

/// Settings of grant_stock_policy.
struct grant_stock_options {
    time_ms horizon{10'000}; ///< duration of a store outage that must cause no refusals
    /// Min stocks without demand, as fractions (1/n) of what is free: of all equal holders
    /// together, of a home, and of a standby.
    std::int64_t floor_divisor{16};
    std::int64_t home_floor_divisor{4};
    std::int64_t standby_floor_divisor{8};
};

/// Grant policy for instances that may lose the store for seconds without warning. Each instance
/// keeps a stock of granted tokens for up to two horizons of its demand. Without demand it still
/// stocks a fraction of what is free, since callers move to it when other instances fail. As a
/// budget runs out, the stocks shrink to each instance's share of the remaining tokens, in
/// proportion to its demand. When only a few requests' worth is left, an instance draws only for
/// waiting requests and its demand of the next moments, so that the rest stays available to all
/// instances.
class grant_stock_policy
{
public:
    explicit grant_stock_policy(grant_stock_options options = {});

    /// Sets the demand of the other instances, as they last published it.
    void set_demand_elsewhere(account_demand demand) { demand_elsewhere_ = std::move(demand); }

    /// Sets the tokens that requests wait for, by account (not per second). They are not returned
    /// until the requests have reserved them.
    void set_waiting(account_demand waiting_tokens) { waiting_tokens_ = std::move(waiting_tokens); }

    /// Sets the function that returns this instance's role for an account.
    void set_roles(std::function<grant_role(std::string_view account)> roles);

    /// Sets whether tokens are stocked without demand. Not while the instances of the fleet, and so
    /// the roles, are not known yet.
    void set_stocks_ahead(bool stocks_ahead) { stocks_ahead_ = stocks_ahead; }
    [[nodiscard]] bool stocks_ahead() const { return stocks_ahead_; }

    [[nodiscard]] grant_role role_of(std::string_view account) const;

    /// Returns the tokens to add (positive) or to return (negative), see `grant_policy`.
    [[nodiscard]] token_count wanted(const grant_policy_input& facts) const;

    /// Returns whether this instance's stock is far below its target while little is free, so that
    /// other instances should return what they do not need.
    [[nodiscard]] bool is_short_of_tokens(const grant_policy_input& facts) const;

    /// Returns this instance's share, by demand, of the tokens known to remain: its own available
    /// ones and the free ones of the ledger.
    [[nodiscard]] token_count share_of_remaining(const grant_policy_input& facts) const;

    /// Returns this instance's share of the fleet's demand, 0 to 1.
    [[nodiscard]] double share_of_demand(const grant_policy_input& facts) const;

    /// Returns the number of available tokens to hold.
    [[nodiscard]] token_count target(const grant_policy_input& facts) const;

private:
    /// Returns whether so little is left that stocks would split it into amounts too small for a
    /// request.
    [[nodiscard]] bool is_scarce(const grant_policy_input& facts) const;
    /// Returns the number of instances that hold tokens of the budget.
    [[nodiscard]] std::int64_t holders(const grant_policy_input& facts) const;
    /// Returns the change for an account that has its home elsewhere: only waiting requests get
    /// tokens, and what they leave goes back at once, so that it does not lie idle here.
    [[nodiscard]] token_count wanted_away_from_home(const grant_policy_input& facts) const;

    /// Returns the tokens that requests wait for.
    [[nodiscard]] token_count waiting_tokens(const grant_policy_input& facts) const;

    /// Returns the stock to keep without demand.
    [[nodiscard]] double floor_stock(const grant_policy_input& facts, double remaining) const;

    /// Returns whether the free tokens would not cover the fleet's demand during an outage, or are
    /// less than a min fraction of the budget.
    [[nodiscard]] bool is_low(const grant_policy_input& facts) const;
    /// Returns the demand of the other instances in tokens per second.
    [[nodiscard]] double demand_elsewhere(const grant_policy_input& facts) const;

    /// Returns the stock to keep for this instance's demand when the budget is scarce.
    [[nodiscard]] token_count scarce_target(const grant_policy_input& facts) const;

    /// Returns the tokens that refused and waiting requests lack, limited to what one refill may
    /// add.
    [[nodiscard]] token_count unmet_tokens(const grant_policy_input& facts) const;

    grant_stock_options options_;
    account_demand demand_elsewhere_;
    account_demand waiting_tokens_;
    std::function<grant_role(std::string_view account)> roles_;
    bool stocks_ahead_{true};
    mutable std::map<std::string, grant_role, std::less<>> known_roles_; ///< cache of roles_
};

static_assert(grant_policy<grant_stock_policy>);

} // namespace jujubevalve
