#pragma once

#include "budget/demand_rate.h"
#include "budget/grant_policy.h"
#include "budget/grant_row.h"
#include "budget/segment.h"
#include "core/core.h"
#include "storage/table_store.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubevalve
{

/// Names a reservation; 0 names none.
using reservation_id = std::uint64_t;

/// A reservation or the reason why there is none.
struct reserve_outcome {
    reservation_id id{0};
    result_code code{result_code::ok};
    bool refill_may_help{false}; ///< a refill that is due may bring tokens; waiting makes sense

    explicit operator bool() const { return id != 0; }
    friend bool operator==(const reserve_outcome&, const reserve_outcome&) = default;
};

/// What a batch is to do.
enum class refill_purpose { refill, close };

/// Budgets whose grants are to be changed in one transaction.
struct refill_batch {
    refill_purpose purpose{refill_purpose::refill};
    std::vector<std::string> budgets;

    [[nodiscard]] bool empty() const { return budgets.empty(); }
    friend bool operator==(const refill_batch&, const refill_batch&) = default;
};

/// One grant change within a planned transaction.
struct planned_change {
    std::string budget;
    token_count granted{0};            ///< value of the row after the change
    std::int64_t row_version{0};       ///< version that the change is conditional on
    std::size_t write_index{0};        ///< position of the grant row among the writes
    incarnation_totals received;       ///< totals that the change records
    token_count free_after{0};         ///< free part of the ledger after the change
    bool closed{false};                ///< the change closes the grant
    std::vector<std::string> row_keys; ///< rows whose conflict concerns this change only

    friend bool operator==(const planned_change&, const planned_change&) = default;
};

/// A transaction and what it means for the book.
struct planned_refill {
    transaction change;
    std::vector<planned_change> changes;

    /// Whether there is nothing to commit.
    [[nodiscard]] bool empty() const { return changes.empty(); }
};

/// Rows of one budget as read by the planner.
struct budget_observation {
    std::string budget;
    token_count limit{0};
    token_count grantable{0};
    token_count allocated{0};
    grant_row grant;
    std::int64_t grant_version{0};
};

/// Counts kept by the book; they only grow.
struct grant_counts {
    std::int64_t reservations{0};
    std::int64_t settled{0};
    std::int64_t released{0};
    std::int64_t usage_above_reservation{0};
    std::int64_t refused_exhausted{0};
    std::int64_t refused_unavailable{0};
    std::int64_t refills_committed{0};
    std::int64_t refills_conflicted{0};
    std::int64_t refills_unknown{0};
    std::int64_t refills_unavailable{0};
    std::int64_t unreadable_rows{0};

    friend bool operator==(const grant_counts&, const grant_counts&) = default;
};

/// Delays and sizes of the refill.
struct refill_timing {
    time_ms check_interval{minutes(1)};    ///< between looks at the ledger of a budget with surplus
    time_ms retry_first{time_ms{200}};     ///< after a conflict or a failed call; doubled each time
    time_ms retry_last{seconds(5)};        ///< largest delay between attempts
    time_ms exhausted_retry{seconds(1)};   ///< between looks at a ledger with nothing free
    time_ms hint_interval{seconds(10)};    ///< between returns because others lack tokens
    time_ms demand_window{minutes(5)};     ///< time constant of the demand's moving average
    time_ms demand_least_age{seconds(10)}; ///< demand counts as spread over at least this time
    time_ms idle_after{minutes(70)}; ///< a budget unused for this long is returned and dropped
    std::size_t batch_size{64};      ///< budgets in one transaction
};

/// The grants, reservations and spend of this incarnation. A budget costs memory only while it is
/// in use. Not safe for use from several threads.
class grant_book
{
public:
    explicit grant_book(std::string incarnation, refill_timing timing = {});

    /// Name of this incarnation.
    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }

    /// Brings a budget into use before its first request, so that a refill may be planned for it.
    void open(std::string_view budget, time_ms now) { at(budget, now); }

    /// Largest delay after conflicts; with many instances on one ledger it has to be longer.
    void set_retry_last(time_ms delay) { timing_.retry_last = delay; }

    /// Sets tokens aside for a request. Refuses with `budget_exhausted` when, as far as known, the
    /// ledger has too little free, with `budget_unavailable` when the grant is empty and the
    /// platform has not been reached, with `draining` after closing began, with `stopped` after
    /// the incarnation was closed by others, with `term_fenced` after a change of term. A refusal
    /// for lack of tokens notes a shortage, which the next refill asks for.
    reserve_outcome reserve(std::string_view budget, token_count tokens, time_ms now);

    /// Replaces a reservation by the actual usage; usage above it is charged in full. Returns
    /// false if the reservation does not exist (any more).
    bool settle(reservation_id id, token_count used, time_ms now);

    /// Charges the whole reservation because the usage cannot be known.
    bool settle_in_full(reservation_id id, time_ms now);

    /// Gives a reservation back because no backend server was reached.
    bool release(reservation_id id);

    /// Requests for so many tokens are waiting; the next refill makes up for them.
    void note_waiting(std::string_view budget, token_count tokens, time_ms now);

    /// Tokens that can be reserved now; negative after usage above reservations.
    [[nodiscard]] token_count available(std::string_view budget) const;
    /// Tokens granted as far as this incarnation may assume; never above the row.
    [[nodiscard]] token_count granted(std::string_view budget) const;
    /// Cumulative spend of this incarnation.
    [[nodiscard]] token_count spent(std::string_view budget) const;
    /// Sum of the reservations in flight.
    [[nodiscard]] token_count reserved(std::string_view budget) const;
    /// Demand in tokens per millisecond.
    [[nodiscard]] double demand(std::string_view budget, time_ms now) const;
    /// Budgets in memory, in name order.
    [[nodiscard]] std::vector<std::string> budgets() const;

    /// Budgets with at least `least` available tokens, largest first, at most `count`.
    [[nodiscard]] std::vector<budget_spend> richest(std::size_t count, token_count least = 1) const;

    /// Budgets whose spend changed since the last call, with their cumulative spend.
    std::vector<budget_spend> take_changed_spend();

    /// Another incarnation lacks tokens: look at the ledger soon and return a surplus. Takes effect
    /// at most once per `refill_timing::hint_interval`, so that hints cause few writes.
    void note_shortage_elsewhere(std::string_view budget, time_ms now);

    /// Chooses the budgets whose grants need a change now, empty if none. Call again until the
    /// batch is empty. The budgets of a batch stay out of further batches until `apply` or
    /// `give_up` is called for it.
    template <grant_policy Policy>
    refill_batch plan_refill(const Policy& policy, std::int64_t live_instances, time_ms now)
    {
        return plan_refill_where(
            now, [&](const grant_facts& facts) { return policy.wanted(facts) != 0; },
            live_instances);
    }

    /// Begins closing: nothing can be reserved any more. Grants close as their last request ends.
    void begin_close() { closing_ = true; }

    /// Chooses grants to close: no reservation in flight and no transfer unacknowledged.
    refill_batch plan_close(time_ms now);

    /// Whether every grant is closed.
    [[nodiscard]] bool all_closed() const;

    /// What the policy may know of a budget.
    [[nodiscard]] grant_facts facts(std::string_view budget, std::int64_t live_instances,
                                    time_ms now) const;

    /// Whether nobody has asked for the budget for `refill_timing::idle_after`.
    [[nodiscard]] bool is_idle(std::string_view budget, time_ms now) const;

    /// Takes over rows that were read. Stops the book if another has closed the grant.
    void observe(const budget_observation& seen, time_ms now);

    /// Whether a write of the grant row is in flight or its answer was lost.
    [[nodiscard]] bool has_open_write(std::string_view budget) const;

    /// Counts a budget that was left out because a row of it is malformed or its pool is missing.
    void note_unreadable() { ++counts_.unreadable_rows; }

    /// Notes a change that is about to be sent; a return is debited from now on.
    void begin_change(const planned_change& change);

    /// Takes over the outcome of a planned transaction. Changes whose rows conflicted are planned
    /// alone after a jittered delay.
    void apply(const refill_batch& batch, const planned_refill& planned,
               const commit_result& outcome, time_ms now);

    /// The read failed, or nothing had to be committed: nothing was sent for the batch.
    void give_up(const refill_batch& batch, bool platform_reachable, time_ms now);

    /// The term row names another term: no reservation is possible any more.
    void fence() { fenced_ = true; }
    [[nodiscard]] bool is_fenced() const { return fenced_; }

    /// Others have closed this incarnation; the process must end.
    void stop() { stopped_ = true; }
    [[nodiscard]] bool is_stopped() const { return stopped_; }

    /// Whether the last call to the platform got an answer.
    [[nodiscard]] bool platform_reachable() const { return platform_reachable_; }

    /// Forgets budgets that are idle, have returned all they can and took part in no transfer.
    /// Their cumulative spend is kept.
    void drop_unused(time_ms now);

    /// Debits a transfer to a peer. Fails without effect if less is available.
    bool debit_transfer(std::string_view budget, std::string_view to, token_count tokens);
    /// The peer has credited a transfer.
    void confirm_sent(std::string_view budget, std::string_view to, token_count tokens);
    /// The peer will never credit a transfer.
    void undo_transfer(std::string_view budget, std::string_view to, token_count tokens);
    /// The peer is closed and has credited `total` in all; the rest is available again.
    void resolve_sent(std::string_view budget, std::string_view to, token_count total);
    /// Credits a transfer from a peer.
    void credit_transfer(std::string_view budget, std::string_view from, token_count tokens,
                         time_ms now);
    /// Totals debited for transfers, by receiver.
    [[nodiscard]] incarnation_totals sent(std::string_view budget) const;
    /// Totals credited by the receivers as far as known.
    [[nodiscard]] incarnation_totals confirmed(std::string_view budget) const;
    /// Totals credited here, by sender.
    [[nodiscard]] incarnation_totals received(std::string_view budget) const;
    /// Senders whose totals the rows do not show yet.
    [[nodiscard]] std::vector<std::string> unrecorded_senders(std::string_view budget) const;

    [[nodiscard]] const grant_counts& counts() const { return counts_; }

private:
    /// A write of the own grant row whose outcome is not known; it can apply as long as the row
    /// has the version that it is conditional on.
    struct open_write {
        std::int64_t row_version{0};
        token_count granted{0};
    };

    struct entry {
        token_count row_granted{0};
        std::int64_t row_version{0};
        std::optional<open_write> in_flight;
        std::optional<open_write> lost; ///< smallest of the writes with lost answers
        token_count spent{0};
        token_count reserved{0};
        incarnation_totals sent;
        incarnation_totals confirmed;
        incarnation_totals received;
        incarnation_totals recorded_received;
        demand_rate demand;
        token_count request{1};
        token_count typical_request{0};
        token_count shortage{0};
        token_count largest_refused{0};
        token_count limit{0};
        token_count grantable{0};
        token_count free{0};
        bool observed{false};
        bool planned{false};
        bool alone{false};
        bool spend_changed{false};
        bool closed{false};
        bool close_sent{false};
        bool look{false};
        bool settled_since_grant{false};
        time_ms next_try{};
        time_ms next_look{};
        time_ms next_hint{};
        time_ms last_use{};
        std::int64_t failures{0};

        [[nodiscard]] token_count granted() const;
        [[nodiscard]] token_count held() const;
        [[nodiscard]] token_count available() const { return held() - spent - reserved; }
        [[nodiscard]] bool has_unconfirmed() const;
        [[nodiscard]] std::vector<std::string> unrecorded_senders() const;
    };

    struct reservation {
        std::string budget;
        token_count tokens{0};
    };

    using entry_map = std::map<std::string, entry, std::less<>>;

    template <class Wants>
    refill_batch plan_refill_where(time_ms now, const Wants& wants, std::int64_t live_instances)
    {
        refill_batch batch;
        if (!may_plan(now)) {
            return batch;
        }
        std::vector<entry_map::pointer> due;
        for (auto& entry : entries_) {
            auto& [name, item] = entry;
            if (is_due(item, now) &&
                (must_look(item, now) || (is_idle(item, now) && item.available() > 0) ||
                 wants(facts_of(name, item, live_instances, now)))) {
                due.push_back(&entry);
            }
        }
        // Calls may be few: those budgets come first of which most was refused.
        std::stable_sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
            return a->second.shortage > b->second.shortage;
        });
        for (auto* entry : due) {
            auto& [name, item] = *entry;
            if (item.alone && !batch.empty()) {
                continue;
            }
            batch.budgets.push_back(name);
            item.planned = true;
            if (item.alone || batch.budgets.size() >= timing_.batch_size) {
                break;
            }
        }
        return batch;
    }

    [[nodiscard]] bool may_plan(time_ms now) const;
    [[nodiscard]] bool is_due(const entry& item, time_ms now) const;
    [[nodiscard]] bool must_look(const entry& item, time_ms now) const;
    [[nodiscard]] bool is_idle(const entry& item, time_ms now) const;
    [[nodiscard]] grant_facts facts_of(std::string_view budget, const entry& item,
                                       std::int64_t live_instances, time_ms now) const;
    [[nodiscard]] const entry* find(std::string_view budget) const;
    entry& at(std::string_view budget, time_ms now);
    reserve_outcome refuse(entry& item, token_count tokens, time_ms now);
    [[nodiscard]] time_ms jittered(std::string_view budget, std::int64_t attempt,
                                   time_ms delay) const;
    void back_off(std::string_view budget, entry& item, time_ms now);
    [[nodiscard]] time_ms look_interval(std::string_view budget, const entry& item) const;
    void looked(std::string_view budget, entry& item, time_ms now);
    void note_platform(bool reachable, time_ms now);
    void apply_committed(const planned_refill& planned, const commit_result& outcome, time_ms now);
    void apply_conflict(const planned_refill& planned, const commit_result& outcome, time_ms now);
    void apply_failed(const planned_refill& planned, bool may_apply, time_ms now);

    std::string incarnation_;
    refill_timing timing_;
    entry_map entries_;
    std::unordered_map<reservation_id, reservation> reservations_;
    reservation_id last_id_{0};
    grant_counts counts_;
    std::unordered_map<std::uint64_t, token_count> dropped_spent_; ///< by hash of the budget
    bool platform_reachable_{true};
    std::int64_t platform_failures_{0};
    time_ms next_probe_{};
    bool closing_{false};
    bool fenced_{false};
    bool stopped_{false};
};

} // namespace jujubevalve
