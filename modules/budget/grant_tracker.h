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

/// Identifies a reservation; 0 means none.
using reservation_id = std::uint64_t;

/// The result of `grant_tracker::reserve`: a reservation or a refusal code.
struct reserve_outcome {
    reservation_id id{0};
    result_code code{result_code::ok};
    bool refill_may_help{false}; ///< a refill is due or in progress; waiting may succeed
    /// Time after which a refused request is expected to get its tokens; nothing if unknown.
    std::optional<time_ms> room_expected_in{};

    explicit operator bool() const { return id != 0; }
    friend bool operator==(const reserve_outcome&, const reserve_outcome&) = default;
};

/// What the transaction of a batch does: change grants, or close them on drain.
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
    token_count granted{0};            ///< value of the grant row after the change
    std::int64_t row_version{0};       ///< grant row version that the change is conditional on
    std::size_t write_index{0};        ///< index of the grant row in the transaction's writes
    incarnation_totals received;       ///< transfer totals that the change records in the row
    token_count free_after{0};         ///< free tokens of the ledger after the change
    bool closed{false};                ///< the change closes the grant
    std::vector<std::string> row_keys; ///< rows of this change; a conflict on them affects only it

    friend bool operator==(const planned_change&, const planned_change&) = default;
};

/// A transaction and the grant changes that it carries.
struct planned_refill {
    transaction change;
    std::vector<planned_change> changes;

    /// Returns whether there is nothing to commit.
    [[nodiscard]] bool empty() const { return changes.empty(); }
};

/// Values of one budget's rows as read by the planner.
struct budget_observation {
    std::string budget;
    token_count limit{0};
    token_count grantable{0};
    token_count allocated{0};
    grant_row grant;
    std::int64_t grant_version{0};
};

/// Event counts since the start of the incarnation.
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

/// Delays and batch size of the refills.
struct refill_timing {
    time_ms check_interval{minutes(1)}; ///< between ledger reads of a budget with available tokens
    time_ms initial_retry_delay{
        time_ms{200}};                   ///< after a conflict or a failed call; doubles each time
    time_ms max_retry_delay{seconds(5)}; ///< maximum delay between attempts
    time_ms unchanged_retry_delay{seconds(1)}; ///< between ledger reads that end without a change
    time_ms hint_interval{seconds(10)};        ///< between early reads on a peer's shortage hint
    time_ms demand_window{minutes(5)};         ///< time constant of the moving average of demand
    time_ms demand_min_age{seconds(10)};       ///< minimum time over which demand is averaged
    time_ms idle_after{minutes(70)};           ///< until an unused budget is returned and dropped
    std::size_t batch_size{64};                ///< maximum number of budgets in one transaction
    /// Counts a request's tokens as demand when they are reserved and corrects them to the usage at
    /// its end. Otherwise the usage counts at the end, so that requests that run for longer than
    /// the budget has been in use are not part of its demand yet.
    bool demand_from_reservations{false};
};

/// Tracks the grants, reservations and spend of this incarnation. Budgets that are not in use take
/// little or no memory. Not thread-safe.
class grant_tracker
{
public:
    explicit grant_tracker(std::string incarnation, refill_timing timing = {});

    /// Returns the name of this incarnation.
    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }

    /// Starts tracking a budget before its first request, so that a refill can be planned for it.
    void open(std::string_view budget, time_ms now) { at(budget, now); }

    /// Sets the maximum delay after conflicts. The more instances share a ledger, the longer the
    /// delay has to be.
    void set_max_retry_delay(time_ms delay) { timing_.max_retry_delay = delay; }

    /// Reserves tokens for a request. Refuses with
    /// - `budget_exhausted` if the grant and the free tokens of the ledger, as last read, together
    ///   are too few and the platform is reachable,
    /// - `budget_unavailable` if the grant is too small for any other reason,
    /// - `draining` after `begin_close`,
    /// - `stopped` after another process closed this incarnation,
    /// - `term_fenced` after a change of term,
    /// - `invalid_token_count` if `tokens` is out of range.
    /// A refusal for lack of tokens adds to the shortage, which the next refill requests.
    reserve_outcome reserve(std::string_view budget, token_count tokens, time_ms now);

    /// Replaces a reservation by the actual usage in tokens; usage above the reservation is charged
    /// in full. Returns false if the reservation does not exist or has already ended.
    bool settle(reservation_id id, token_count used, time_ms now);

    /// Charges the whole reservation, for requests whose usage cannot be determined.
    bool settle_in_full(reservation_id id, time_ms now);

    /// Cancels a reservation whose request reached no backend server.
    bool release(reservation_id id);

    /// Adds demand, of one request, that another incarnation's grant serves.
    void add_demand(std::string_view budget, token_count tokens, time_ms now);
    /// Changes demand that was added at the time `then` by `change`, which may be negative.
    void correct_demand(std::string_view budget, token_count change, time_ms then);

    /// Reports the tokens needed by the waiting requests; the next refill requests them.
    void record_waiting(std::string_view budget, token_count tokens, time_ms now);

    /// Returns the tokens that can be reserved now; negative after usage above reservations.
    [[nodiscard]] token_count available(std::string_view budget) const;
    /// Returns a safe lower bound of the granted tokens; never above the value in the grant row.
    [[nodiscard]] token_count granted(std::string_view budget) const;
    /// Returns the cumulative spend of this incarnation in tokens.
    [[nodiscard]] token_count spent(std::string_view budget) const;
    /// Returns the sum of the reservations in flight.
    [[nodiscard]] token_count reserved(std::string_view budget) const;
    /// Returns the demand in tokens per millisecond.
    [[nodiscard]] double demand(std::string_view budget, time_ms now) const;
    /// Returns the tracked budgets in name order.
    [[nodiscard]] std::vector<std::string> budgets() const;

    /// Returns up to `count` budgets with an open grant and at least `min_available` available
    /// tokens, in descending order of available tokens, which the field `spent` holds.
    [[nodiscard]] std::vector<budget_spend> largest_available(std::size_t count,
                                                              token_count min_available = 1) const;

    /// Returns the budgets whose spend changed since the last call, with their cumulative spend.
    std::vector<budget_spend> take_changed_spend();

    /// Handles a hint that another incarnation lacks tokens: the ledger is read at the next refill,
    /// and a surplus is returned. Hints within `refill_timing::hint_interval` of the last one are
    /// ignored, which limits the writes that hints cause.
    void record_peer_shortage(std::string_view budget, time_ms now);
    /// Has the budget's grant planned again soon, since its ledger may have changed.
    void request_check(std::string_view budget);

    /// Returns the budgets whose grants need a change now; call repeatedly until the batch is
    /// empty. The budgets of a batch are not planned again until `apply` or `give_up` is called for
    /// it.
    template <grant_policy Policy>
    refill_batch plan_refill(const Policy& policy, std::int64_t live_instances, time_ms now)
    {
        return plan_refill_where(
            now, [&](const grant_policy_input& facts) { return policy.wanted(facts) != 0; },
            live_instances);
    }

    /// Starts closing the grants: refuses new reservations. `plan_close` then returns the grants
    /// whose last request has ended.
    void begin_close() { closing_ = true; }

    /// Returns the grants that can be closed: no reservation in flight, all transfers confirmed.
    refill_batch plan_close(time_ms now);

    /// Returns whether every grant is closed.
    [[nodiscard]] bool all_closed() const;

    /// Returns the input of the grant policy for a budget.
    [[nodiscard]] grant_policy_input facts(std::string_view budget, std::int64_t live_instances,
                                           time_ms now) const;

    /// Returns whether the budget has no reservation in flight and has been unused for
    /// `refill_timing::idle_after`.
    [[nodiscard]] bool is_idle(std::string_view budget, time_ms now) const;

    /// Records rows that were read. Stops this incarnation if another process closed its grant.
    void observe(const budget_observation& observation, time_ms now);

    /// Returns whether a write of the grant row is in flight or its response was lost.
    [[nodiscard]] bool has_pending_write(std::string_view budget) const;

    /// Counts a budget that was skipped because a row is malformed or the budget has no pool.
    void count_unreadable() { ++counts_.unreadable_rows; }

    /// Records a change that is about to be sent. A return is debited from this moment.
    void begin_change(const planned_change& change);

    /// Records the outcome of a planned transaction. Changes whose rows conflicted are retried in a
    /// transaction of their own after a jittered delay.
    void apply(const refill_batch& batch, const planned_refill& planned,
               const commit_result& outcome, time_ms now);

    /// Abandons a batch for which nothing was sent because the read failed or no change was needed.
    void give_up(const refill_batch& batch, bool platform_reachable, time_ms now);

    /// Continues with a store that has lost rows. Keeps what is granted, as far as it is safe to
    /// spend, and forgets row versions and writes in flight. Grants that are in use are not changed
    /// until they are registered with the store.
    void begin_store_era();

    /// A grant that the store may have lost, and how much of it is spent or reserved.
    struct unregistered_grant {
        std::string budget;
        token_count granted{0};
        token_count used{0};

        friend bool operator==(const unregistered_grant&, const unregistered_grant&) = default;
    };
    [[nodiscard]] std::vector<unregistered_grant> unregistered_grants() const;

    /// Records that a grant's row holds `granted`.
    void set_registered(std::string_view budget, token_count granted, std::int64_t row_version);

    /// Refuses all reservations from now on, because the term row holds another term.
    void fence() { fenced_ = true; }
    [[nodiscard]] bool is_fenced() const { return fenced_; }

    /// Refuses all reservations from now on, because another process closed this incarnation. The
    /// process must exit.
    void stop() { stopped_ = true; }
    [[nodiscard]] bool is_stopped() const { return stopped_; }

    /// Returns whether the last call to the platform got a response.
    [[nodiscard]] bool platform_reachable() const { return platform_reachable_; }

    /// Removes budgets that are idle, have no available tokens and took part in no transfer. Their
    /// cumulative spend is kept.
    void drop_unused(time_ms now);

    /// Debits a transfer to a peer. Returns false and changes nothing if too few tokens are
    /// available, the grant is closed or this incarnation is fenced or stopped.
    bool debit_transfer(std::string_view budget, std::string_view to, token_count tokens);
    /// Records that the peer credited a transfer.
    void confirm_sent(std::string_view budget, std::string_view to, token_count tokens);
    /// Makes the tokens of a transfer that the peer will never credit available again.
    void undo_transfer(std::string_view budget, std::string_view to, token_count tokens);
    /// Sets the total sent to a closed peer to the `total` that it credited; the rest becomes
    /// available again.
    void resolve_sent(std::string_view budget, std::string_view to, token_count total);
    /// Credits a transfer from a peer.
    void credit_transfer(std::string_view budget, std::string_view from, token_count tokens,
                         time_ms now);
    /// Returns the totals debited for transfers, by receiver.
    [[nodiscard]] incarnation_totals sent(std::string_view budget) const;
    /// Returns the totals that the receivers confirmed, by receiver.
    [[nodiscard]] incarnation_totals confirmed(std::string_view budget) const;
    /// Returns the totals credited here, by sender.
    [[nodiscard]] incarnation_totals received(std::string_view budget) const;
    /// Returns the senders whose received totals are not recorded in the grant rows yet.
    [[nodiscard]] std::vector<std::string> unrecorded_senders(std::string_view budget) const;

    [[nodiscard]] const grant_counts& counts() const { return counts_; }

private:
    /// A write of this incarnation's grant row whose outcome is not known. It can still apply while
    /// the row has the version that the write is conditional on.
    struct pending_write {
        std::int64_t row_version{0};
        token_count granted{0};
    };

    /// State of one budget.
    struct budget_state {
        token_count row_granted{0};
        std::int64_t row_version{0};
        std::optional<pending_write> in_flight;
        std::optional<pending_write> lost; ///< lowest value of the writes with lost responses
        token_count spent{0};
        token_count reserved{0};
        incarnation_totals sent;
        incarnation_totals confirmed;
        incarnation_totals received;
        incarnation_totals recorded_received; ///< as recorded in the grant row
        demand_rate demand;
        token_count request{1};
        token_count typical_request{0};
        token_count shortage{0};
        token_count largest_refused{0};
        token_count limit{0};
        token_count grantable{0};
        token_count free{0};
        bool observed{false};
        bool planned{false};         ///< in a batch whose outcome is not known yet
        bool own_transaction{false}; ///< retry after a conflict without other budgets
        bool unregistered{false};    ///< the store may have lost the grant's row
        bool spend_changed{false};
        bool closed{false};
        bool close_sent{false};
        bool check_requested{false};
        bool settled_since_grant{false};
        time_ms next_attempt{};
        time_ms next_check{};
        time_ms next_hint{};
        time_ms last_use{};
        std::int64_t failures{0};

        void note_request(token_count tokens);
        [[nodiscard]] token_count granted() const;
        [[nodiscard]] token_count held() const;
        [[nodiscard]] token_count available() const { return held() - spent - reserved; }
        [[nodiscard]] bool has_unconfirmed_transfers() const;
        [[nodiscard]] std::vector<std::string> unrecorded_senders() const;
    };

    struct reservation {
        std::string budget;
        token_count tokens{0};
        time_ms made_at{};
    };

    using state_map = std::map<std::string, budget_state, std::less<>>;

    template <class Predicate>
    refill_batch plan_refill_where(time_ms now, const Predicate& needs_change,
                                   std::int64_t live_instances)
    {
        refill_batch batch;
        if (!may_plan(now)) {
            return batch;
        }
        std::vector<state_map::pointer> due;
        for (auto& entry : budgets_) {
            auto& [name, state] = entry;
            if (is_due(state, now) &&
                (needs_check(state, now) || (is_idle(state, now) && state.available() > 0) ||
                 needs_change(facts_of(name, state, live_instances, now)))) {
                due.push_back(&entry);
            }
        }
        // The caller may execute only a few batches, so the largest shortages come first.
        std::stable_sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
            return a->second.shortage > b->second.shortage;
        });
        for (auto* entry : due) {
            auto& [name, state] = *entry;
            if (state.own_transaction && !batch.empty()) {
                continue;
            }
            batch.budgets.push_back(name);
            state.planned = true;
            if (state.own_transaction || batch.budgets.size() >= timing_.batch_size) {
                break;
            }
        }
        return batch;
    }

    [[nodiscard]] bool may_plan(time_ms now) const;
    [[nodiscard]] bool is_due(const budget_state& state, time_ms now) const;
    [[nodiscard]] bool needs_check(const budget_state& state, time_ms now) const;
    [[nodiscard]] bool is_idle(const budget_state& state, time_ms now) const;
    [[nodiscard]] grant_policy_input facts_of(std::string_view budget, const budget_state& state,
                                              std::int64_t live_instances, time_ms now) const;
    [[nodiscard]] const budget_state* find(std::string_view budget) const;
    budget_state& at(std::string_view budget, time_ms now);
    reserve_outcome refuse(budget_state& state, token_count tokens, time_ms now);
    [[nodiscard]] time_ms jittered(std::string_view budget, std::int64_t attempt,
                                   time_ms delay) const;
    void back_off(std::string_view budget, budget_state& state, time_ms now);
    [[nodiscard]] time_ms check_delay(std::string_view budget, const budget_state& state) const;
    void note_checked(std::string_view budget, budget_state& state, time_ms now);
    void set_platform_reachable(bool reachable, time_ms now);
    void apply_committed(const planned_refill& planned, const commit_result& outcome, time_ms now);
    void apply_conflict(const planned_refill& planned, const commit_result& outcome, time_ms now);
    void apply_failed(const planned_refill& planned, bool may_apply, time_ms now);

    std::string incarnation_;
    refill_timing timing_;
    state_map budgets_;
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
