#include "budget/grant_tracker.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
token_count total_of(const incarnation_totals& totals, std::string_view name)
{
    const auto found = totals.find(name);
    return found == totals.end() ? 0 : found->second;
}

token_count& total_at(incarnation_totals& totals, std::string_view name)
{
    return totals.try_emplace(std::string{name}, 0).first->second;
}
} // namespace

grant_tracker::grant_tracker(std::string incarnation, refill_timing timing)
    : incarnation_{std::move(incarnation)}
    , timing_{timing}
{
}

token_count grant_tracker::budget_state::granted() const
{
    // A write with an unknown outcome can still apply while the row has the version that the write
    // is conditional on, so only the lower of the two values is safe to use.
    auto lowest = row_granted;
    for (const auto& write : {in_flight, lost}) {
        if (write && write->row_version == row_version) {
            lowest = std::min(lowest, write->granted);
        }
    }
    return lowest;
}

token_count grant_tracker::budget_state::held() const
{
    return granted() - sum_of(sent) + sum_of(received);
}

void grant_tracker::budget_state::note_request(token_count tokens)
{
    // Decays by 1/64 per request, so that an unusually large request loses its weight.
    request = std::max({tokens, request - request / 64, token_count{1}});
    typical_request =
        typical_request == 0 ? tokens : typical_request + (tokens - typical_request) / 16;
}

bool grant_tracker::budget_state::has_unconfirmed_transfers() const
{
    return std::any_of(sent.begin(), sent.end(), [this](const auto& receiver_total) {
        return receiver_total.second > total_of(confirmed, receiver_total.first);
    });
}

std::vector<std::string> grant_tracker::budget_state::unrecorded_senders() const
{
    std::vector<std::string> senders;
    for (const auto& [from, total] : received) {
        if (total_of(recorded_received, from) < total) {
            senders.push_back(from);
        }
    }
    return senders;
}

const grant_tracker::budget_state* grant_tracker::find(std::string_view budget) const
{
    const auto found = budgets_.find(budget);
    return found == budgets_.end() ? nullptr : &found->second;
}

grant_tracker::budget_state& grant_tracker::at(std::string_view budget, time_ms now)
{
    const auto found = budgets_.find(budget);
    if (found != budgets_.end()) {
        return found->second;
    }
    auto& created = budgets_.try_emplace(std::string{budget}).first->second;
    created.last_use = now;
    created.demand = demand_rate{timing_.demand_window, timing_.demand_min_age};
    const auto dropped = dropped_spent_.find(hash64(budget));
    if (dropped != dropped_spent_.end()) {
        // Budgets are dropped only with no tokens available, so the row holds exactly the spend.
        created.spent = dropped->second;
        created.row_granted = dropped->second;
        dropped_spent_.erase(dropped);
    }
    return created;
}

reserve_outcome grant_tracker::reserve(std::string_view budget, token_count tokens, time_ms now)
{
    if (fenced_ || stopped_ || closing_) {
        const auto code = fenced_    ? result_code::term_fenced
                          : stopped_ ? result_code::stopped
                                     : result_code::draining;
        return {0, code, false};
    }
    if (tokens < 0 || tokens > max_token_count) {
        return {0, result_code::invalid_token_count, false};
    }
    auto& state = at(budget, now);
    state.last_use = now;
    state.note_request(tokens);
    if (tokens > state.available()) {
        return refuse(state, tokens, now);
    }
    state.reserved += tokens;
    reservations_.emplace(++last_id_, reservation{std::string{budget}, tokens, now});
    if (timing_.demand_from_reservations) {
        state.demand.add(tokens, now);
    }
    ++counts_.reservations;
    return {last_id_, result_code::ok, false};
}

reserve_outcome grant_tracker::refuse(budget_state& state, token_count tokens, time_ms now)
{
    state.shortage = std::min(state.shortage + tokens, max_token_count);
    const bool exhausted = state.observed && state.free + state.available() < tokens;
    // If a ledger read is due, the last one is outdated and the budget may have been topped up.
    const bool may_help =
        platform_reachable_ && (state.planned || !exhausted || is_due(state, now));
    if (!platform_reachable_ || !exhausted) {
        ++counts_.refused_unavailable;
        return {0, result_code::budget_unavailable, may_help};
    }
    ++counts_.refused_exhausted;
    return {0, result_code::budget_exhausted, may_help};
}

bool grant_tracker::settle(reservation_id id, token_count used, time_ms now)
{
    const auto found = reservations_.find(id);
    if (found == reservations_.end() || used < 0) {
        return false;
    }
    const auto ended = found->second;
    reservations_.erase(found);
    auto& state = at(ended.budget, now);
    state.reserved -= ended.tokens;
    state.spent += used;
    state.spend_changed = state.spend_changed || used > 0;
    state.last_use = now;
    if (timing_.demand_from_reservations) {
        state.demand.correct(used - ended.tokens, ended.made_at);
    } else {
        state.demand.add(used, now);
    }
    state.settled_since_grant = true;
    ++counts_.settled;
    if (used > ended.tokens) {
        ++counts_.usage_above_reservation;
    }
    return true;
}

bool grant_tracker::settle_in_full(reservation_id id, time_ms now)
{
    const auto found = reservations_.find(id);
    return found != reservations_.end() && settle(id, found->second.tokens, now);
}

bool grant_tracker::release(reservation_id id)
{
    const auto found = reservations_.find(id);
    if (found == reservations_.end()) {
        return false;
    }
    const auto entry = budgets_.find(found->second.budget);
    if (entry != budgets_.end()) {
        entry->second.reserved -= found->second.tokens;
        if (timing_.demand_from_reservations) {
            entry->second.demand.correct(-found->second.tokens, found->second.made_at);
        }
    }
    reservations_.erase(found);
    ++counts_.released;
    return true;
}

void grant_tracker::add_demand(std::string_view budget, token_count tokens, time_ms now)
{
    auto& state = at(budget, now);
    state.demand.add(tokens, now);
    state.note_request(tokens);
}

void grant_tracker::correct_demand(std::string_view budget, token_count change, time_ms then)
{
    if (const auto found = budgets_.find(budget); found != budgets_.end()) {
        found->second.demand.correct(change, then);
    }
}

void grant_tracker::record_waiting(std::string_view budget, token_count tokens, time_ms now)
{
    auto& state = at(budget, now);
    state.shortage = std::max(state.shortage, std::min(tokens, max_token_count));
}

token_count grant_tracker::available(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state == nullptr ? 0 : state->available();
}

token_count grant_tracker::granted(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state == nullptr ? 0 : state->granted();
}

token_count grant_tracker::spent(std::string_view budget) const
{
    if (const auto* const state = find(budget)) {
        return state->spent;
    }
    const auto dropped = dropped_spent_.find(hash64(budget));
    return dropped == dropped_spent_.end() ? 0 : dropped->second;
}

token_count grant_tracker::reserved(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state == nullptr ? 0 : state->reserved;
}

double grant_tracker::demand(std::string_view budget, time_ms now) const
{
    const auto* const state = find(budget);
    return state == nullptr ? 0 : state->demand.per_ms(now);
}

std::vector<std::string> grant_tracker::budgets() const
{
    std::vector<std::string> names;
    names.reserve(budgets_.size());
    for (const auto& [name, state] : budgets_) {
        names.push_back(name);
    }
    return names;
}

std::vector<budget_spend> grant_tracker::largest_available(std::size_t count,
                                                           token_count min_available) const
{
    std::vector<budget_spend> found;
    for (const auto& [name, state] : budgets_) {
        if (state.available() >= min_available && !state.closed) {
            found.push_back({name, state.available()});
        }
    }
    const auto kept = std::min(count, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(kept), found.end(),
                      [](const auto& a, const auto& b) { return a.spent > b.spent; });
    found.resize(kept);
    return found;
}

std::vector<budget_spend> grant_tracker::take_changed_spend()
{
    std::vector<budget_spend> changed;
    for (auto& [name, state] : budgets_) {
        if (std::exchange(state.spend_changed, false)) {
            changed.push_back({name, state.spent});
        }
    }
    return changed;
}

void grant_tracker::record_peer_shortage(std::string_view budget, time_ms now)
{
    const auto found = budgets_.find(budget);
    if (found != budgets_.end() && found->second.available() > 0 &&
        now >= found->second.next_hint) {
        found->second.check_requested = true;
        found->second.next_hint = now + timing_.hint_interval;
    }
}

void grant_tracker::request_check(std::string_view budget)
{
    if (const auto found = budgets_.find(budget); found != budgets_.end()) {
        found->second.check_requested = true;
    }
}

bool grant_tracker::may_plan(time_ms now) const
{
    return !fenced_ && !stopped_ && (platform_reachable_ || now >= next_probe_);
}

bool grant_tracker::is_due(const budget_state& state, time_ms now) const
{
    return !state.planned && !state.closed && !state.unregistered && !closing_ &&
           now >= state.next_attempt;
}

bool grant_tracker::needs_check(const budget_state& state, time_ms now) const
{
    const bool may_return = state.observed && state.available() > 0 && now >= state.next_check;
    return state.check_requested || state.shortage > 0 || may_return ||
           !state.unrecorded_senders().empty();
}

bool grant_tracker::is_idle(const budget_state& state, time_ms now) const
{
    return state.reserved == 0 && now - state.last_use > timing_.idle_after;
}

bool grant_tracker::is_idle(std::string_view budget, time_ms now) const
{
    const auto* const state = find(budget);
    return state != nullptr && is_idle(*state, now);
}

refill_batch grant_tracker::plan_close(time_ms now)
{
    refill_batch batch{refill_purpose::close, {}};
    if (!closing_ || !may_plan(now)) {
        return batch;
    }
    for (auto& [name, state] : budgets_) {
        const bool ready = !state.closed && !state.planned && !state.unregistered &&
                           now >= state.next_attempt && state.reserved == 0 &&
                           !state.has_unconfirmed_transfers();
        if (!ready || (state.own_transaction && !batch.empty())) {
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

bool grant_tracker::all_closed() const
{
    return std::all_of(budgets_.begin(), budgets_.end(),
                       [](const auto& entry) { return entry.second.closed; });
}

grant_policy_input grant_tracker::facts_of(std::string_view budget, const budget_state& state,
                                           std::int64_t live_instances, time_ms now) const
{
    grant_policy_input facts;
    facts.budget = budget;
    facts.demand_per_ms = state.demand.per_ms(now);
    facts.limit = state.limit;
    facts.grantable = state.grantable;
    facts.free = state.free;
    facts.granted = state.granted();
    facts.available = state.available();
    facts.reserved = state.reserved;
    facts.request = state.request;
    facts.typical_request = std::max<token_count>(1, state.typical_request);
    facts.shortage = state.shortage;
    facts.live_instances = live_instances;
    facts.settled_since_grant = state.settled_since_grant;
    facts.first_grant = state.row_version == 0;
    return facts;
}

grant_policy_input grant_tracker::facts(std::string_view budget, std::int64_t live_instances,
                                        time_ms now) const
{
    const auto* const state = find(budget);
    return state == nullptr ? grant_policy_input{} : facts_of(budget, *state, live_instances, now);
}

void grant_tracker::observe(const budget_observation& observation, time_ms now)
{
    set_platform_reachable(true, now);
    auto& state = at(observation.budget, now);
    if (observation.grant_version < state.row_version) {
        return;
    }
    state.row_version = observation.grant_version;
    state.row_granted = observation.grant.granted;
    if (state.lost && state.lost->row_version < state.row_version) {
        state.lost.reset();
    }
    state.recorded_received = observation.grant.received;
    state.limit = observation.limit;
    state.grantable = observation.grantable;
    state.free = observation.grantable - observation.allocated;
    state.observed = true;
    if (observation.grant.closed && !state.closed) {
        state.closed = true;
        stopped_ = stopped_ || !state.close_sent;
    }
}

bool grant_tracker::has_pending_write(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state != nullptr && (state->in_flight || state->lost);
}

void grant_tracker::begin_change(const planned_change& change)
{
    const auto found = budgets_.find(change.budget);
    if (found == budgets_.end()) {
        return;
    }
    found->second.in_flight = pending_write{change.row_version, change.granted};
    found->second.close_sent = found->second.close_sent || change.closed;
}

void grant_tracker::apply(const refill_batch& batch, const planned_refill& planned,
                          const commit_result& outcome, time_ms now)
{
    const bool versions_known = outcome.versions.size() == planned.change.writes.size();
    std::set<std::string, std::less<>> changed;
    for (const auto& change : planned.changes) {
        changed.insert(change.budget);
    }
    if (outcome.outcome == commit_outcome::committed && versions_known) {
        set_platform_reachable(true, now);
        apply_committed(planned, outcome, now);
    } else if (outcome.outcome == commit_outcome::conflict) {
        set_platform_reachable(true, now);
        apply_conflict(planned, outcome, now);
    } else {
        apply_failed(planned, outcome.outcome != commit_outcome::unavailable, now);
    }
    for (const auto& budget : batch.budgets) {
        if (!changed.contains(budget)) {
            note_checked(budget, at(budget, now), now);
        }
    }
}

void grant_tracker::apply_committed(const planned_refill& planned, const commit_result& outcome,
                                    time_ms now)
{
    ++counts_.refills_committed;
    for (const auto& change : planned.changes) {
        auto& state = at(change.budget, now);
        state.row_granted = change.granted;
        state.row_version = outcome.versions.at(change.write_index);
        state.in_flight.reset();
        state.lost.reset();
        state.recorded_received = change.received;
        state.closed = state.closed || change.closed;
        state.free = change.free_after;
        state.settled_since_grant = false;
        state.shortage = 0;
        state.planned = false;
        state.own_transaction = false;
        state.failures = 0;
        state.check_requested = false;
        state.next_check = now + check_delay(change.budget, state);
    }
}

void grant_tracker::apply_conflict(const planned_refill& planned, const commit_result& outcome,
                                   time_ms now)
{
    ++counts_.refills_conflicted;
    const auto has_conflict = [&outcome](const planned_change& change) {
        return std::any_of(change.row_keys.begin(), change.row_keys.end(), [&](const auto& key) {
            return std::find(outcome.conflicts.begin(), outcome.conflicts.end(), key) !=
                   outcome.conflicts.end();
        });
    };
    const bool any_conflict =
        std::any_of(planned.changes.begin(), planned.changes.end(), has_conflict);
    for (const auto& change : planned.changes) {
        auto& state = at(change.budget, now);
        state.in_flight.reset();
        state.planned = false;
        if (!any_conflict || has_conflict(change)) {
            state.own_transaction = true;
            back_off(change.budget, state, now);
        }
    }
}

void grant_tracker::apply_failed(const planned_refill& planned, bool may_apply, time_ms now)
{
    set_platform_reachable(false, now);
    ++(may_apply ? counts_.refills_unknown : counts_.refills_unavailable);
    for (const auto& change : planned.changes) {
        auto& state = at(change.budget, now);
        if (may_apply && state.in_flight) {
            const bool same_version =
                state.lost && state.lost->row_version == state.in_flight->row_version;
            const auto granted = same_version
                                     ? std::min(state.lost->granted, state.in_flight->granted)
                                     : state.in_flight->granted;
            state.lost = pending_write{state.in_flight->row_version, granted};
        }
        state.in_flight.reset();
        state.planned = false;
    }
}

void grant_tracker::give_up(const refill_batch& batch, bool platform_reachable, time_ms now)
{
    set_platform_reachable(platform_reachable, now);
    for (const auto& budget : batch.budgets) {
        auto& state = at(budget, now);
        if (platform_reachable) {
            note_checked(budget, state, now);
        }
        state.planned = false;
    }
}

void grant_tracker::note_checked(std::string_view budget, budget_state& state, time_ms now)
{
    state.planned = false;
    state.check_requested = false;
    state.own_transaction = false;
    state.failures = 0;
    state.shortage = 0;
    state.next_attempt = now + jittered(budget, now.count(), timing_.unchanged_retry_delay);
    state.next_check = now + check_delay(budget, state);
    const bool untouched = state.row_version == 0 && state.row_granted == 0 && state.sent.empty() &&
                           state.received.empty() && state.spent == 0 && !state.lost;
    state.closed = state.closed || (closing_ && untouched);
}

time_ms grant_tracker::check_delay(std::string_view budget, const budget_state& state) const
{
    // A surplus only needs to be returned while the ledger has few free tokens; the ledgers of
    // other budgets are read less often, to save reads.
    const bool low = state.free < state.grantable / 20;
    return jittered(budget, state.row_version, timing_.check_interval * (low ? 1 : 10));
}

time_ms grant_tracker::jittered(std::string_view budget, std::int64_t attempt, time_ms delay) const
{
    const auto seed = hash64(incarnation_, static_cast<std::uint64_t>(attempt));
    const auto half = std::max<std::int64_t>(1, delay.count() / 2);
    return time_ms{
        half + static_cast<std::int64_t>(hash64(budget, seed) % static_cast<std::uint64_t>(half))};
}

void grant_tracker::back_off(std::string_view budget, budget_state& state, time_ms now)
{
    const auto doublings = std::min<std::int64_t>(state.failures++, 10);
    const auto delay = std::min(timing_.initial_retry_delay * (std::int64_t{1} << doublings),
                                timing_.max_retry_delay);
    state.next_attempt = now + jittered(budget, state.failures + now.count(), delay);
}

void grant_tracker::set_platform_reachable(bool reachable, time_ms now)
{
    platform_reachable_ = reachable;
    if (reachable) {
        platform_failures_ = 0;
        return;
    }
    const auto doublings = std::min<std::int64_t>(platform_failures_++, 10);
    const auto delay = std::min(timing_.initial_retry_delay * (std::int64_t{1} << doublings),
                                timing_.max_retry_delay);
    next_probe_ = now + jittered("", platform_failures_ + now.count(), delay);
}

void grant_tracker::drop_unused(time_ms now)
{
    for (auto it = budgets_.begin(); it != budgets_.end();) {
        const auto& state = it->second;
        const bool can_drop = state.available() == 0 && !state.in_flight && !state.lost &&
                              !state.planned && !state.spend_changed && state.sent.empty() &&
                              state.received.empty() && !closing_;
        if (!can_drop || !is_idle(state, now)) {
            ++it;
            continue;
        }
        if (state.spent > 0) {
            dropped_spent_[hash64(it->first)] = state.spent;
        }
        it = budgets_.erase(it);
    }
}

bool grant_tracker::debit_transfer(std::string_view budget, std::string_view to, token_count tokens)
{
    const auto found = budgets_.find(budget);
    if (found == budgets_.end() || tokens < 1 || found->second.available() < tokens ||
        found->second.closed || fenced_ || stopped_) {
        return false;
    }
    total_at(found->second.sent, to) += tokens;
    return true;
}

void grant_tracker::confirm_sent(std::string_view budget, std::string_view to, token_count tokens)
{
    const auto found = budgets_.find(budget);
    if (found != budgets_.end()) {
        auto& confirmed = total_at(found->second.confirmed, to);
        confirmed = std::min(confirmed + tokens, total_of(found->second.sent, to));
    }
}

void grant_tracker::undo_transfer(std::string_view budget, std::string_view to, token_count tokens)
{
    const auto found = budgets_.find(budget);
    if (found != budgets_.end()) {
        auto& sent = total_at(found->second.sent, to);
        sent = std::max(sent - tokens, total_of(found->second.confirmed, to));
    }
}

void grant_tracker::resolve_sent(std::string_view budget, std::string_view to, token_count total)
{
    const auto found = budgets_.find(budget);
    if (found != budgets_.end()) {
        total_at(found->second.sent, to) = total;
        total_at(found->second.confirmed, to) = total;
    }
}

void grant_tracker::credit_transfer(std::string_view budget, std::string_view from,
                                    token_count tokens, time_ms now)
{
    auto& state = at(budget, now);
    state.last_use = now;
    total_at(state.received, from) += tokens;
}

incarnation_totals grant_tracker::sent(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state == nullptr ? incarnation_totals{} : state->sent;
}

incarnation_totals grant_tracker::confirmed(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state == nullptr ? incarnation_totals{} : state->confirmed;
}

incarnation_totals grant_tracker::received(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state == nullptr ? incarnation_totals{} : state->received;
}

std::vector<std::string> grant_tracker::unrecorded_senders(std::string_view budget) const
{
    const auto* const state = find(budget);
    return state == nullptr ? std::vector<std::string>{} : state->unrecorded_senders();
}

} // namespace jujubevalve
