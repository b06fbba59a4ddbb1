#pragma once

#include "budget/grant_book.h"
#include "budget/grant_planner.h"
#include "dispatch/spend_ceilings.h"
#include "dispatch/stocked_grants.h"
#include "storage/table_store.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Settings of account_budgets.
struct account_budget_options {
    stocked_grants_options policy{};
    refill_timing timing{};
    spend_ceilings_options ceilings{};
    /// Grants are drawn before the first request if there are at most so many accounts.
    std::size_t prefetched_accounts{64};
};

/// A conditional write that changes grants, and what it was planned for.
struct grant_write {
    refill_batch batch;
    planned_refill planned;
};

/// What is to be done next for the grants.
struct grant_step {
    std::optional<grant_write> write;
    std::optional<std::string> read_ledger; ///< budget whose ledger must be read first
};

/// The prepaid budgets of client accounts: draws grants from ledgers in the store by conditional
/// writes, and books reservations against them. The limits come with the configuration. Rows are
/// remembered between writes; a conflict brings the present ones.
class account_budgets
{
public:
    account_budgets(std::string incarnation, account_budget_options options);

    /// Takes over the limits of a configuration version.
    void set_limits(const std::map<std::string, token_count>& limits, time_ms now);

    /// Whether the account has a prepaid budget.
    [[nodiscard]] bool is_limited(std::string_view account) const;

    [[nodiscard]] reserve_outcome reserve(std::string_view account, token_count tokens,
                                          time_ms now);
    /// Requests for so many tokens of the account are waiting for a refill.
    void note_waiting(std::string_view account, token_count tokens, time_ms now)
    {
        book_.note_waiting(account, tokens, now);
    }

    /// Whether, as far as known, the whole budget has not so many tokens left.
    [[nodiscard]] bool is_exhausted(std::string_view account, token_count tokens) const;

    void settle(reservation_id id, token_count used, time_ms now);
    void settle_in_full(reservation_id id, time_ms now);
    void release(reservation_id id);

    /// The next write or read, if one is due. Answer each with committed(), or rows_read().
    [[nodiscard]] grant_step next_step(std::int64_t instances, time_ms now);

    /// Fleet size, for the pause after a conflict.
    void set_instances(std::int64_t instances);

    /// Outcome of a write; `current` are the present rows after a conflict.
    void committed(const grant_write& write, const commit_result& outcome,
                   const std::vector<table_row>& current, time_ms now);

    /// Rows as read from the store.
    void rows_read(const std::vector<table_row>& rows, time_ms now);

    /// Refuses further reservations and returns what is not spent.
    void begin_close();
    [[nodiscard]] bool all_closed() const;

    /// Own demand of the accounts with the largest, at most `most`.
    [[nodiscard]] account_demand largest_demand(std::size_t most, time_ms now) const;
    /// Accounts of which this instance lacks tokens while little is free, at most `most`.
    [[nodiscard]] std::vector<std::string> short_accounts(std::size_t most, time_ms now) const;
    /// Other instances lack tokens of the account: a surplus is returned soon.
    void note_shortage_elsewhere(std::string_view account, time_ms now)
    {
        book_.note_shortage_elsewhere(account, now);
    }

    /// Demand of the other instances together.
    void set_demand_elsewhere(account_demand demand)
    {
        policy_.set_demand_elsewhere(std::move(demand));
    }

    /// Tokens that requests wait for.
    void set_waiting(account_demand waiting) { policy_.set_waiting(std::move(waiting)); }

    /// The ceilings on the own spend; requests above them are refused until they are published.
    [[nodiscard]] spend_ceilings& ceilings() { return ceilings_; }

    /// Whether the store answers at present, so that waiting for a write makes sense.
    void set_store_reachable(bool reachable) { store_reachable_ = reachable; }

    /// Tokens that may still be reserved below the ceiling.
    [[nodiscard]] token_count room_below_ceiling(std::string_view account, time_ms now) const;

    /// Present spend of all accounts in use, for the ceilings.
    [[nodiscard]] std::vector<spend_facts> spend(time_ms now) const;

    [[nodiscard]] const grant_book& book() const { return book_; }

    /// Key of an account's ledger row.
    [[nodiscard]] static std::string ledger_row_key(std::string_view account);

private:
    [[nodiscard]] std::vector<table_row> known_rows(const refill_batch& batch) const;
    void drop_virtual_conditions(transaction& change) const;

    account_budget_options options_;
    grant_book book_;
    grant_planner planner_;
    stocked_grants policy_;
    spend_ceilings ceilings_;
    bool store_reachable_{true};
    std::int64_t instances_{1};
    std::map<std::string, token_count, std::less<>> limits_;
    std::map<std::string, table_row, std::less<>> rows_;
    std::map<std::string, time_ms, std::less<>> read_at_; ///< by account
};

} // namespace jujubevalve
