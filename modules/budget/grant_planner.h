#pragma once

#include "budget/grant_tracker.h"
#include "budget/pool_limit.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Names of the pools that carry the limit of each budget, by budget.
using budget_pools = std::map<std::string, std::vector<std::string>, std::less<>>;

/// Plans one read and one transaction for a batch. The transaction is conditional on the term row,
/// this incarnation's instance row and, for each budget, the grant rows that it writes. If the
/// granted tokens change, it is also conditional on the pools rows and the ledger row.
class grant_planner
{
public:
    grant_planner(std::string incarnation, std::int64_t term);

    /// Sets the pools of all budgets; call at each new configuration version.
    void set_budget_pools(budget_pools sources) { sources_ = std::move(sources); }

    /// Returns the keys of the rows to read for the batch.
    [[nodiscard]] std::vector<std::string> read_set(const grant_tracker& book,
                                                    const refill_batch& batch) const;

    /// Builds the transaction from the rows of `read_set` and records in `book` the changes that
    /// are about to be sent. Budgets that need no change are skipped; budgets with a malformed row
    /// or without a valid pools row are skipped and counted. Fails with `term_fenced` or `stopped`,
    /// which `book` records, and with `malformed_row` if the term or instance row is missing or
    /// malformed. If this fails or the plan is empty, pass the batch to `grant_tracker::give_up`
    /// instead of committing.
    template <grant_policy Policy>
    result<planned_refill> build(grant_tracker& book, const Policy& policy,
                                 std::int64_t live_instances, const refill_batch& batch,
                                 const std::vector<table_row>& rows, time_ms now) const
    {
        return build_with(
            book, live_instances, batch, rows, now,
            [&policy](const grant_policy_input& facts) { return policy.wanted(facts); });
    }

    /// Builds the transaction that closes the grants of a batch from `grant_tracker::plan_close`.
    result<planned_refill> build_close(grant_tracker& book, const refill_batch& batch,
                                       const std::vector<table_row>& rows, time_ms now) const;

private:
    using change_function = std::function<token_count(const grant_policy_input&)>;
    using row_map = std::map<std::string, const table_row*, std::less<>>;

    result<planned_refill> build_with(grant_tracker& book, std::int64_t live_instances,
                                      const refill_batch& batch, const std::vector<table_row>& rows,
                                      time_ms now, const change_function& policy_change) const;
    [[nodiscard]] status check_fences(grant_tracker& book, const row_map& rows) const;
    [[nodiscard]] result<budget_observation> observe(const std::string& budget,
                                                     const row_map& rows) const;
    [[nodiscard]] token_count bounded_change(const grant_tracker& book, const std::string& budget,
                                             std::int64_t live_instances, time_ms now,
                                             const change_function& policy_change) const;
    void add_if_needed(planned_refill& planned, grant_tracker& book,
                       const budget_observation& observation, bool close, const row_map& rows,
                       token_count delta) const;
    [[nodiscard]] status add_change(planned_refill& planned, const grant_tracker& book,
                                    const budget_observation& observation, token_count delta,
                                    bool close, const row_map& rows) const;

    std::string incarnation_;
    std::int64_t term_;
    budget_pools sources_;
};

} // namespace jujubevalve
