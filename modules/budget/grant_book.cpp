#include "budget/grant_book.h"

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

grant_book::grant_book(std::string incarnation, refill_timing timing)
    : incarnation_{std::move(incarnation)}
    , timing_{timing}
{
}

token_count grant_book::entry::granted() const
{
    // A write whose outcome is open may still apply while the row has the version that it is
    // conditional on, so the smaller of both values is all that may be assumed.
    auto least = row_granted;
    for (const auto& write : {in_flight, lost}) {
        if (write && write->row_version == row_version) {
            least = std::min(least, write->granted);
        }
    }
    return least;
}

token_count grant_book::entry::held() const
{
    return granted() - sum_of(sent) + sum_of(received);
}

bool grant_book::entry::has_unconfirmed() const
{
    return std::any_of(sent.begin(), sent.end(), [this](const auto& item) {
        return item.second > total_of(confirmed, item.first);
    });
}

std::vector<std::string> grant_book::entry::unrecorded_senders() const
{
    std::vector<std::string> senders;
    for (const auto& [from, total] : received) {
        if (total_of(recorded_received, from) < total) {
            senders.push_back(from);
        }
    }
    return senders;
}

const grant_book::entry* grant_book::find(std::string_view budget) const
{
    const auto found = entries_.find(budget);
    return found == entries_.end() ? nullptr : &found->second;
}

grant_book::entry& grant_book::at(std::string_view budget, time_ms now)
{
    const auto found = entries_.find(budget);
    if (found != entries_.end()) {
        return found->second;
    }
    auto& made = entries_.try_emplace(std::string{budget}).first->second;
    made.last_use = now;
    made.demand = demand_rate{timing_.demand_window, timing_.demand_least_age};
    const auto dropped = dropped_spent_.find(hash64(budget));
    if (dropped != dropped_spent_.end()) {
        // Dropped with nothing available, so the row holds exactly what was spent.
        made.spent = dropped->second;
        made.row_granted = dropped->second;
        dropped_spent_.erase(dropped);
    }
    return made;
}

reserve_outcome grant_book::reserve(std::string_view budget, token_count tokens, time_ms now)
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
    auto& item = at(budget, now);
    item.last_use = now;
    // Forgets unusually large requests over the following ones.
    item.request = std::max({tokens, item.request - item.request / 64, token_count{1}});
    item.typical_request = item.typical_request == 0
                               ? tokens
                               : item.typical_request + (tokens - item.typical_request) / 16;
    if (tokens > item.available()) {
        return refuse(item, tokens, now);
    }
    item.reserved += tokens;
    reservations_.emplace(++last_id_, reservation{std::string{budget}, tokens});
    ++counts_.reservations;
    return {last_id_, result_code::ok, false};
}

reserve_outcome grant_book::refuse(entry& item, token_count tokens, time_ms now)
{
    item.shortage = std::min(item.shortage + tokens, max_token_count);
    const bool exhausted = item.observed && item.free + item.available() < tokens;
    // What was read long ago says little; a look is due and may find a topped-up budget.
    const bool may_help = platform_reachable_ && (item.planned || !exhausted || is_due(item, now));
    if (!platform_reachable_ || !exhausted) {
        ++counts_.refused_unavailable;
        return {0, result_code::budget_unavailable, may_help};
    }
    ++counts_.refused_exhausted;
    return {0, result_code::budget_exhausted, may_help};
}

bool grant_book::settle(reservation_id id, token_count used, time_ms now)
{
    const auto found = reservations_.find(id);
    if (found == reservations_.end() || used < 0) {
        return false;
    }
    const auto [budget, tokens] = found->second;
    reservations_.erase(found);
    auto& item = at(budget, now);
    item.reserved -= tokens;
    item.spent += used;
    item.spend_changed = item.spend_changed || used > 0;
    item.last_use = now;
    item.demand.add(used, now);
    item.settled_since_grant = true;
    ++counts_.settled;
    if (used > tokens) {
        ++counts_.usage_above_reservation;
    }
    return true;
}

bool grant_book::settle_in_full(reservation_id id, time_ms now)
{
    const auto found = reservations_.find(id);
    return found != reservations_.end() && settle(id, found->second.tokens, now);
}

bool grant_book::release(reservation_id id)
{
    const auto found = reservations_.find(id);
    if (found == reservations_.end()) {
        return false;
    }
    const auto item = entries_.find(found->second.budget);
    if (item != entries_.end()) {
        item->second.reserved -= found->second.tokens;
    }
    reservations_.erase(found);
    ++counts_.released;
    return true;
}

void grant_book::note_waiting(std::string_view budget, token_count tokens, time_ms now)
{
    auto& item = at(budget, now);
    item.shortage = std::max(item.shortage, std::min(tokens, max_token_count));
}

token_count grant_book::available(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item == nullptr ? 0 : item->available();
}

token_count grant_book::granted(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item == nullptr ? 0 : item->granted();
}

token_count grant_book::spent(std::string_view budget) const
{
    if (const auto* const item = find(budget)) {
        return item->spent;
    }
    const auto dropped = dropped_spent_.find(hash64(budget));
    return dropped == dropped_spent_.end() ? 0 : dropped->second;
}

token_count grant_book::reserved(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item == nullptr ? 0 : item->reserved;
}

double grant_book::demand(std::string_view budget, time_ms now) const
{
    const auto* const item = find(budget);
    return item == nullptr ? 0 : item->demand.per_ms(now);
}

std::vector<std::string> grant_book::budgets() const
{
    std::vector<std::string> names;
    names.reserve(entries_.size());
    for (const auto& [name, item] : entries_) {
        names.push_back(name);
    }
    return names;
}

std::vector<budget_spend> grant_book::richest(std::size_t count, token_count least) const
{
    std::vector<budget_spend> found;
    for (const auto& [name, item] : entries_) {
        if (item.available() >= least && !item.closed) {
            found.push_back({name, item.available()});
        }
    }
    const auto kept = std::min(count, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(kept), found.end(),
                      [](const auto& a, const auto& b) { return a.spent > b.spent; });
    found.resize(kept);
    return found;
}

std::vector<budget_spend> grant_book::take_changed_spend()
{
    std::vector<budget_spend> changed;
    for (auto& [name, item] : entries_) {
        if (std::exchange(item.spend_changed, false)) {
            changed.push_back({name, item.spent});
        }
    }
    return changed;
}

void grant_book::note_shortage_elsewhere(std::string_view budget, time_ms now)
{
    const auto found = entries_.find(budget);
    if (found != entries_.end() && found->second.available() > 0 &&
        now >= found->second.next_hint) {
        found->second.look = true;
        found->second.next_hint = now + timing_.hint_interval;
    }
}

bool grant_book::may_plan(time_ms now) const
{
    return !fenced_ && !stopped_ && (platform_reachable_ || now >= next_probe_);
}

bool grant_book::is_due(const entry& item, time_ms now) const
{
    return !item.planned && !item.closed && !closing_ && now >= item.next_try;
}

bool grant_book::must_look(const entry& item, time_ms now) const
{
    const bool may_return = item.observed && item.available() > 0 && now >= item.next_look;
    return item.look || item.shortage > 0 || may_return || !item.unrecorded_senders().empty();
}

bool grant_book::is_idle(const entry& item, time_ms now) const
{
    return item.reserved == 0 && now - item.last_use > timing_.idle_after;
}

bool grant_book::is_idle(std::string_view budget, time_ms now) const
{
    const auto* const item = find(budget);
    return item != nullptr && is_idle(*item, now);
}

refill_batch grant_book::plan_close(time_ms now)
{
    refill_batch batch{refill_purpose::close, {}};
    if (!closing_ || !may_plan(now)) {
        return batch;
    }
    for (auto& [name, item] : entries_) {
        const bool ready = !item.closed && !item.planned && now >= item.next_try &&
                           item.reserved == 0 && !item.has_unconfirmed();
        if (!ready || (item.alone && !batch.empty())) {
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

bool grant_book::all_closed() const
{
    return std::all_of(entries_.begin(), entries_.end(),
                       [](const auto& item) { return item.second.closed; });
}

grant_facts grant_book::facts_of(std::string_view budget, const entry& item,
                                 std::int64_t live_instances, time_ms now) const
{
    grant_facts facts;
    facts.budget = budget;
    facts.demand_per_ms = item.demand.per_ms(now);
    facts.limit = item.limit;
    facts.grantable = item.grantable;
    facts.free = item.free;
    facts.granted = item.granted();
    facts.available = item.available();
    facts.reserved = item.reserved;
    facts.request = item.request;
    facts.typical_request = std::max<token_count>(1, item.typical_request);
    facts.shortage = item.shortage;
    facts.live_instances = live_instances;
    facts.settled_since_grant = item.settled_since_grant;
    facts.first_grant = item.row_version == 0;
    return facts;
}

grant_facts grant_book::facts(std::string_view budget, std::int64_t live_instances,
                              time_ms now) const
{
    const auto* const item = find(budget);
    return item == nullptr ? grant_facts{} : facts_of(budget, *item, live_instances, now);
}

void grant_book::observe(const budget_observation& seen, time_ms now)
{
    note_platform(true, now);
    auto& item = at(seen.budget, now);
    if (seen.grant_version < item.row_version) {
        return;
    }
    item.row_version = seen.grant_version;
    item.row_granted = seen.grant.granted;
    if (item.lost && item.lost->row_version < item.row_version) {
        item.lost.reset();
    }
    item.recorded_received = seen.grant.received;
    item.limit = seen.limit;
    item.grantable = seen.grantable;
    item.free = seen.grantable - seen.allocated;
    item.observed = true;
    if (seen.grant.closed && !item.closed) {
        item.closed = true;
        stopped_ = stopped_ || !item.close_sent;
    }
}

bool grant_book::has_open_write(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item != nullptr && (item->in_flight || item->lost);
}

void grant_book::begin_change(const planned_change& change)
{
    const auto found = entries_.find(change.budget);
    if (found == entries_.end()) {
        return;
    }
    found->second.in_flight = open_write{change.row_version, change.granted};
    found->second.close_sent = found->second.close_sent || change.closed;
}

void grant_book::apply(const refill_batch& batch, const planned_refill& planned,
                       const commit_result& outcome, time_ms now)
{
    const bool versions_known = outcome.versions.size() == planned.change.writes.size();
    std::set<std::string, std::less<>> changed;
    for (const auto& change : planned.changes) {
        changed.insert(change.budget);
    }
    if (outcome.outcome == commit_outcome::committed && versions_known) {
        note_platform(true, now);
        apply_committed(planned, outcome, now);
    } else if (outcome.outcome == commit_outcome::conflict) {
        note_platform(true, now);
        apply_conflict(planned, outcome, now);
    } else {
        apply_failed(planned, outcome.outcome != commit_outcome::unavailable, now);
    }
    for (const auto& budget : batch.budgets) {
        if (!changed.contains(budget)) {
            looked(budget, at(budget, now), now);
        }
    }
}

void grant_book::apply_committed(const planned_refill& planned, const commit_result& outcome,
                                 time_ms now)
{
    ++counts_.refills_committed;
    for (const auto& change : planned.changes) {
        auto& item = at(change.budget, now);
        item.row_granted = change.granted;
        item.row_version = outcome.versions.at(change.write_index);
        item.in_flight.reset();
        item.lost.reset();
        item.recorded_received = change.received;
        item.closed = item.closed || change.closed;
        item.free = change.free_after;
        item.settled_since_grant = false;
        item.shortage = 0;
        item.planned = false;
        item.alone = false;
        item.failures = 0;
        item.look = false;
        item.next_look = now + look_interval(change.budget, item);
    }
}

void grant_book::apply_conflict(const planned_refill& planned, const commit_result& outcome,
                                time_ms now)
{
    ++counts_.refills_conflicted;
    const auto concerns = [&outcome](const planned_change& change) {
        return std::any_of(change.row_keys.begin(), change.row_keys.end(), [&](const auto& key) {
            return std::find(outcome.conflicts.begin(), outcome.conflicts.end(), key) !=
                   outcome.conflicts.end();
        });
    };
    const bool any = std::any_of(planned.changes.begin(), planned.changes.end(), concerns);
    for (const auto& change : planned.changes) {
        auto& item = at(change.budget, now);
        item.in_flight.reset();
        item.planned = false;
        if (!any || concerns(change)) {
            item.alone = true;
            back_off(change.budget, item, now);
        }
    }
}

void grant_book::apply_failed(const planned_refill& planned, bool may_apply, time_ms now)
{
    note_platform(false, now);
    ++(may_apply ? counts_.refills_unknown : counts_.refills_unavailable);
    for (const auto& change : planned.changes) {
        auto& item = at(change.budget, now);
        if (may_apply && item.in_flight) {
            const bool same = item.lost && item.lost->row_version == item.in_flight->row_version;
            const auto granted = same ? std::min(item.lost->granted, item.in_flight->granted)
                                      : item.in_flight->granted;
            item.lost = open_write{item.in_flight->row_version, granted};
        }
        item.in_flight.reset();
        item.planned = false;
    }
}

void grant_book::give_up(const refill_batch& batch, bool platform_reachable, time_ms now)
{
    note_platform(platform_reachable, now);
    for (const auto& budget : batch.budgets) {
        auto& item = at(budget, now);
        if (platform_reachable) {
            looked(budget, item, now);
        }
        item.planned = false;
    }
}

void grant_book::looked(std::string_view budget, entry& item, time_ms now)
{
    item.planned = false;
    item.look = false;
    item.alone = false;
    item.failures = 0;
    item.shortage = 0;
    item.next_try = now + jittered(budget, now.count(), timing_.exhausted_retry);
    item.next_look = now + look_interval(budget, item);
    const bool untouched = item.row_version == 0 && item.row_granted == 0 && item.sent.empty() &&
                           item.received.empty() && item.spent == 0 && !item.lost;
    item.closed = item.closed || (closing_ && untouched);
}

time_ms grant_book::look_interval(std::string_view budget, const entry& item) const
{
    // A surplus matters only while little is free; other budgets are looked at less often so that
    // reads stay few.
    const bool low = item.free < item.grantable / 20;
    return jittered(budget, item.row_version, timing_.check_interval * (low ? 1 : 10));
}

time_ms grant_book::jittered(std::string_view budget, std::int64_t attempt, time_ms delay) const
{
    const auto seed = hash64(incarnation_, static_cast<std::uint64_t>(attempt));
    const auto half = std::max<std::int64_t>(1, delay.count() / 2);
    return time_ms{
        half + static_cast<std::int64_t>(hash64(budget, seed) % static_cast<std::uint64_t>(half))};
}

void grant_book::back_off(std::string_view budget, entry& item, time_ms now)
{
    const auto doublings = std::min<std::int64_t>(item.failures++, 10);
    const auto delay =
        std::min(timing_.retry_first * (std::int64_t{1} << doublings), timing_.retry_last);
    item.next_try = now + jittered(budget, item.failures + now.count(), delay);
}

void grant_book::note_platform(bool reachable, time_ms now)
{
    platform_reachable_ = reachable;
    if (reachable) {
        platform_failures_ = 0;
        return;
    }
    const auto doublings = std::min<std::int64_t>(platform_failures_++, 10);
    const auto delay =
        std::min(timing_.retry_first * (std::int64_t{1} << doublings), timing_.retry_last);
    next_probe_ = now + jittered("", platform_failures_ + now.count(), delay);
}

void grant_book::drop_unused(time_ms now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto& item = it->second;
        const bool settled = item.available() == 0 && !item.in_flight && !item.lost &&
                             !item.planned && !item.spend_changed && item.sent.empty() &&
                             item.received.empty() && !closing_;
        if (!settled || !is_idle(item, now)) {
            ++it;
            continue;
        }
        if (item.spent > 0) {
            dropped_spent_[hash64(it->first)] = item.spent;
        }
        it = entries_.erase(it);
    }
}

bool grant_book::debit_transfer(std::string_view budget, std::string_view to, token_count tokens)
{
    const auto found = entries_.find(budget);
    if (found == entries_.end() || tokens < 1 || found->second.available() < tokens ||
        found->second.closed || fenced_ || stopped_) {
        return false;
    }
    total_at(found->second.sent, to) += tokens;
    return true;
}

void grant_book::confirm_sent(std::string_view budget, std::string_view to, token_count tokens)
{
    const auto found = entries_.find(budget);
    if (found != entries_.end()) {
        auto& confirmed = total_at(found->second.confirmed, to);
        confirmed = std::min(confirmed + tokens, total_of(found->second.sent, to));
    }
}

void grant_book::undo_transfer(std::string_view budget, std::string_view to, token_count tokens)
{
    const auto found = entries_.find(budget);
    if (found != entries_.end()) {
        auto& sent = total_at(found->second.sent, to);
        sent = std::max(sent - tokens, total_of(found->second.confirmed, to));
    }
}

void grant_book::resolve_sent(std::string_view budget, std::string_view to, token_count total)
{
    const auto found = entries_.find(budget);
    if (found != entries_.end()) {
        total_at(found->second.sent, to) = total;
        total_at(found->second.confirmed, to) = total;
    }
}

void grant_book::credit_transfer(std::string_view budget, std::string_view from, token_count tokens,
                                 time_ms now)
{
    auto& item = at(budget, now);
    item.last_use = now;
    total_at(item.received, from) += tokens;
}

incarnation_totals grant_book::sent(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item == nullptr ? incarnation_totals{} : item->sent;
}

incarnation_totals grant_book::confirmed(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item == nullptr ? incarnation_totals{} : item->confirmed;
}

incarnation_totals grant_book::received(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item == nullptr ? incarnation_totals{} : item->received;
}

std::vector<std::string> grant_book::unrecorded_senders(std::string_view budget) const
{
    const auto* const item = find(budget);
    return item == nullptr ? std::vector<std::string>{} : item->unrecorded_senders();
}

} // namespace jujubevalve
