#pragma once

#include "budget/grant_planner.h"
#include "budget/grant_tracker.h"
#include "dispatch/grant_stock_policy.h"
#include "dispatch/ledger_recovery.h"
#include "dispatch/spend_ceilings.h"
#include "storage/table_store.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Settings of account_budgets.
struct account_budget_options {
    grant_stock_options policy{};
    refill_timing timing{};
    spend_ceilings_options ceilings{};
    /// Grants are drawn ahead of the first request only if there are no more accounts than this.
    std::size_t max_prefetched_accounts{64};
};

/// A conditional write that changes grants, with the batch of budgets it was planned for.
struct grant_write {
    refill_batch batch;
    planned_refill planned;
};

/// The next store operation for the grants: a write, a read, or nothing if both are empty.
struct grant_step {
    std::optional<grant_write> write;
    std::optional<std::string> read_ledger; ///< account whose ledger row is to be read
};

/// The prepaid budgets of client accounts. Draws grants from the ledgers in the store by
/// conditional writes and charges reservations to them. The limits come from the configuration.
/// Rows are cached between writes; the response to a conflicting write carries the current ones.
class account_budgets
{
public:
    account_budgets(std::string incarnation, account_budget_options options);

    /// Replaces all limits with those of a new configuration version, in tokens by account.
    void set_limits(const std::map<std::string, token_count>& limits, time_ms now);

    /// Returns whether the account has a prepaid budget.
    [[nodiscard]] bool is_limited(std::string_view account) const;

    /// Reserves tokens for a request. Refuses with `budget_unavailable` if the ceiling on the spend
    /// is too low at present, otherwise as `grant_tracker::reserve` does.
    [[nodiscard]] reserve_outcome reserve(std::string_view account, token_count tokens,
                                          time_ms now);
    /// Returns after what time the ceiling is expected to have room for a request that is refused
    /// now, behind those that were refused before; nothing if its tokens are lacking.
    [[nodiscard]] std::optional<time_ms> room_expected_in(std::string_view account,
                                                          token_count tokens, time_ms now);

    /// Adds demand of this instance's callers that the home of the account serves. Should the
    /// account be held here later, its demand is known.
    void add_demand(std::string_view account, token_count tokens, time_ms now)
    {
        grants_.add_demand(account, tokens, now);
    }
    void correct_demand(std::string_view account, token_count change, time_ms then)
    {
        grants_.correct_demand(account, change, then);
    }

    /// Records that requests for `tokens` of the account wait for a refill.
    void record_waiting(std::string_view account, token_count tokens, time_ms now)
    {
        grants_.record_waiting(account, tokens, now);
    }

    /// Returns whether less than `tokens` is left of the whole budget, as far as known from the
    /// last ledger row seen.
    [[nodiscard]] bool is_exhausted(std::string_view account, token_count tokens) const;

    void settle(reservation_id id, token_count used, time_ms now);
    void settle_in_full(reservation_id id, time_ms now);
    void release(reservation_id id);

    /// Returns the next write or read that is due, if any. Report the outcome of a write with
    /// committed() and that of a read with rows_read().
    [[nodiscard]] grant_step next_step(std::int64_t instances, time_ms now);

    /// Sets how many instances share the budgets, which determines the max delay after a conflict.
    void set_instances(std::int64_t instances);

    /// Sets this instance's role for each account. Grants are drawn ahead of the first request
    /// unless the role is `none`.
    void set_roles(std::function<grant_role(std::string_view account)> roles, time_ms now);

    /// Sets whether tokens are stocked without demand, see grant_stock_policy.
    void set_stocks_ahead(bool stocks_ahead, time_ms now);

    /// Returns whether the own grant and its ceiling cover a request now.
    [[nodiscard]] bool covers(std::string_view account, token_count tokens, time_ms now) const;

    /// Handles the outcome of a write; `current` holds the current rows after a conflict.
    void committed(const grant_write& write, const commit_result& outcome,
                   const std::vector<table_row>& current, time_ms now);

    /// Updates the cached rows with rows read from the store. Grants of accounts that other
    /// instances lack are planned again.
    void rows_read(const std::vector<table_row>& rows, time_ms now);

    /// Continues with a store that has lost rows, see grant_tracker. What was reserved stays so;
    /// no ceiling binds until one is published again.
    void begin_store_era();
    /// Returns the grants that have to be registered with the store.
    [[nodiscard]] std::vector<grant_registration> unregistered_grants() const;
    /// Records that a grant is registered. `rows`: as they are in the store since.
    void registered(const grant_registration& held, token_count granted,
                    const std::vector<table_row>& rows);

    /// Refuses further reservations and starts returning unspent tokens to the ledgers.
    void begin_close();
    [[nodiscard]] bool all_closed() const;

    /// Returns the demand that this instance's grants serve for the accounts where it is largest,
    /// at most `max_accounts`.
    [[nodiscard]] account_demand largest_demand(std::size_t max_accounts, time_ms now) const;
    /// Returns up to `max_accounts` accounts of which this instance lacks tokens while their
    /// ledgers have little free.
    [[nodiscard]] std::vector<std::string> short_accounts(std::size_t max_accounts,
                                                          time_ms now) const;
    /// Records that other instances lack tokens of the account, so that a surplus is returned soon.
    void record_peer_shortage(std::string_view account, time_ms now);

    /// Sets the total demand of the other instances.
    void set_demand_elsewhere(account_demand demand)
    {
        policy_.set_demand_elsewhere(std::move(demand));
    }

    /// Sets the tokens that requests wait for, by account (not per second).
    void set_waiting(account_demand waiting) { policy_.set_waiting(std::move(waiting)); }

    /// Returns the ceilings on this instance's spend. Requests above a ceiling are refused until a
    /// higher one is published.
    [[nodiscard]] spend_ceilings& ceilings() { return ceilings_; }

    /// Sets whether the store responds. Only then may a request wait for its ceiling to be raised.
    void set_store_reachable(bool reachable) { store_reachable_ = reachable; }

    /// Returns the tokens that may still be reserved below the ceiling.
    [[nodiscard]] token_count headroom_below_ceiling(std::string_view account, time_ms now) const;

    /// Returns this instance's share of the fleet's demand for the account, 0 to 1.
    [[nodiscard]] double share_of_demand(std::string_view account, time_ms now) const
    {
        return policy_.share_of_demand(grants_.facts(account, 1, now));
    }

    /// Returns the spend of all accounts in use, as input for the ceilings.
    [[nodiscard]] std::vector<spend_facts> spend(time_ms now) const;

    [[nodiscard]] const grant_tracker& book() const { return grants_; }

    /// Returns the key of an account's ledger row.
    [[nodiscard]] static std::string ledger_row_key(std::string_view account);

private:
    /// Tokens of an account for refused requests that have been told when to return.
    struct promised_tokens {
        token_count tokens{0};
        time_ms until{};
    };

    /// Returns the rows that the planner needs for the batch. Those of the term, the instance and
    /// the limits are made up from local state, since they are not in the store.
    [[nodiscard]] std::vector<table_row> planning_rows(const refill_batch& batch) const;
    void cache_rows(const std::vector<table_row>& rows);
    void open_ahead(time_ms now);
    void drop_virtual_conditions(transaction& change) const;

    account_budget_options options_;
    grant_tracker grants_;
    grant_planner planner_;
    grant_stock_policy policy_;
    spend_ceilings ceilings_;
    bool store_reachable_{true};
    std::int64_t instances_{1};
    std::map<std::string, token_count, std::less<>> limits_;
    std::map<std::string, table_row, std::less<>> cached_rows_;
    std::map<std::string, time_ms, std::less<>> ledger_read_at_; ///< by account
    std::set<std::string, std::less<>> lacked_elsewhere_;        ///< until the ledger has been read
    std::map<std::string, promised_tokens, std::less<>> promised_;
};

} // namespace jujubevalve
