#pragma once

#include "budget/grant_book.h"
#include "budget/grant_planner.h"
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
    void settle(reservation_id id, token_count used, time_ms now);
    void settle_in_full(reservation_id id, time_ms now);
    void release(reservation_id id);

    /// The next write or read, if one is due. Answer each with committed(), or rows_read().
    [[nodiscard]] grant_step next_step(std::int64_t instances, time_ms now);

    /// Outcome of a write; `current` are the present rows after a conflict.
    void committed(const grant_write& write, const commit_result& outcome,
                   const std::vector<table_row>& current, time_ms now);

    /// Rows as read from the store.
    void rows_read(const std::vector<table_row>& rows, time_ms now);

    /// Refuses further reservations and returns what is not spent.
    void begin_close();
    [[nodiscard]] bool all_closed() const;

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
    std::map<std::string, token_count, std::less<>> limits_;
    std::map<std::string, table_row, std::less<>> rows_;
    std::map<std::string, time_ms, std::less<>> read_at_; ///< by account
};

} // namespace jujubevalve
