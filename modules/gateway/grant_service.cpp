#include "gateway/grant_service.h"

#include "budget/grant_row.h"
#include "core/digest.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Max concurrent store reads and writes, each for one account.
constexpr int max_in_flight = 16;
/// Fraction of the store's write rate used for grants; the rest is for heartbeats and ceilings.
constexpr double grant_write_fraction = 0.5;
/// Ceilings are written as often as requests need them, but not while the store refuses them.
constexpr double unlimited_rate_per_s = 1e9;
/// Delay before the next run() while requests wait for tokens.
constexpr time_ms waiting_run_delay{8};
/// For this long after a wait has timed out, further requests of the account wait only a fraction
/// of the usual time, so that they are refused while their callers still have time to retry.
constexpr time_ms wait_backoff_duration{1000};
constexpr std::int64_t backoff_wait_divisor = 4;

std::string_view name_of(commit_outcome outcome)
{
    switch (outcome) {
    case commit_outcome::committed:
        return "committed";
    case commit_outcome::conflict:
        return "conflict";
    case commit_outcome::unknown:
        return "unknown";
    case commit_outcome::unavailable:
        break;
    }
    return "unavailable";
}
} // namespace

grant_service::grant_service(event_loop& loop, store_client& store, decision_log& log,
                             gateway_metrics& metrics, std::string instance,
                             std::string incarnation, std::string address,
                             account_budget_options options, double fleet_writes_per_s)
    : loop_{loop}
    , store_{store}
    , rows_{store}
    , log_{log}
    , metrics_{metrics}
    , instance_{std::move(instance)}
    , incarnation_{std::move(incarnation)}
    , address_{std::move(address)}
    , budgets_{incarnation_, options}
    , pacer_{fleet_writes_per_s * grant_write_fraction}
    , ceiling_pacer_{unlimited_rate_per_s}
    , random_{static_cast<std::minstd_rand::result_type>(hash64(incarnation_))}
{
    set_stocks_ahead(false);
    set_roles([](std::string_view /*account*/) { return grant_role::none; });
}

void grant_service::set_limits(const std::map<std::string, token_count>& limits)
{
    budgets_.set_limits(limits, loop_.now());
    run();
}

std::uint64_t grant_service::reserve(const std::string& account, token_count tokens,
                                     time_ms max_wait, reserve_callback callback)
{
    const auto outcome = budgets_.reserve(account, tokens, loop_.now());
    if (outcome || !outcome.refill_may_help) {
        callback(outcome);
        schedule_run(time_ms{0});
        return 0;
    }
    const auto last_timeout = last_wait_timeouts_.find(account);
    const bool full_wait = last_timeout == last_wait_timeouts_.end() ||
                           loop_.now() - last_timeout->second > wait_backoff_duration;
    waiters_.push_back({++last_waiter_id_, account, tokens,
                        loop_.now() + (full_wait ? max_wait : max_wait / backoff_wait_divisor),
                        std::move(callback)});
    schedule_run(time_ms{0});
    return last_waiter_id_;
}

reserve_outcome grant_service::with_expected_room(const std::string& account, token_count tokens,
                                                  reserve_outcome refusal)
{
    if (!refusal && !refusal.room_expected_in) {
        refusal.room_expected_in = budgets_.room_expected_in(account, tokens, loop_.now());
    }
    return refusal;
}

void grant_service::cancel(std::uint64_t id)
{
    waiters_.remove_if([id](const waiter& candidate) { return candidate.id == id; });
}

void grant_service::settle(reservation_id id, token_count used)
{
    budgets_.settle(id, used, loop_.now());
    schedule_run(time_ms{0});
}

void grant_service::settle_in_full(reservation_id id)
{
    budgets_.settle_in_full(id, loop_.now());
    schedule_run(time_ms{0});
}

void grant_service::release(reservation_id id)
{
    budgets_.release(id);
}

void grant_service::log_refusal(std::string_view request, const std::string& account,
                                token_count tokens)
{
    const auto now = loop_.now();
    const auto facts = budgets_.book().facts(account, instances_, now);
    log_.write("budget_refusal",
               log_fields{}
                   .add("id", request)
                   .add("account", account)
                   .add("tokens", tokens)
                   .add("available", facts.available)
                   .add("reserved", facts.reserved)
                   .add("free", facts.free)
                   .add("limit", facts.limit)
                   .add("demand_per_s", static_cast<std::int64_t>(facts.demand_per_ms * 1000))
                   .add("share_of_demand_percent",
                        static_cast<std::int64_t>(budgets_.share_of_demand(account, now) * 100))
                   .add("room_below_ceiling", budgets_.headroom_below_ceiling(account, now))
                   .add("store_reachable", static_cast<int>(store_reachable_)),
               now);
}

void grant_service::schedule_run(time_ms delay)
{
    if (timer_ != 0) {
        return;
    }
    timer_ = loop_.schedule(delay, [this] {
        timer_ = 0;
        run();
    });
}

void grant_service::run()
{
    publish_ceilings();
    // Before planning, so that tokens just granted for waiting requests are not returned.
    serve_waiters(false);
    // A refill that was planned before a request arrived does not include its tokens.
    account_demand waiting;
    for (const auto& queued : waiters_) {
        waiting[queued.account] += queued.tokens;
    }
    for (const auto& [account, tokens] : waiting) {
        if (budgets_.book().available(account) < tokens) {
            budgets_.record_waiting(account, tokens, loop_.now());
        }
    }
    budgets_.set_waiting(std::move(waiting));
    while (in_flight_ < max_in_flight && store_reachable_ && ledgers_open_ &&
           pacer_.may_call(loop_.now())) {
        auto step = budgets_.next_step(instances_, loop_.now());
        if (step.write || step.read_ledger) {
            pacer_.called();
        }
        if (step.write) {
            send(*step.write);
        } else if (step.read_ledger) {
            read_ledger(*step.read_ledger);
        } else {
            break;
        }
    }
    if (!waiters_.empty()) {
        schedule_run(waiting_run_delay);
    }
}

void grant_service::publish_ceilings()
{
    const auto now = loop_.now();
    const auto store_time = store_.store_time();
    // While the last write is unacknowledged and the store is unreachable, further writes would
    // only delay the start of the period in which the ceilings bind.
    if (!store_time || !era_known_ || (ceilings_unacknowledged_ && !store_reachable_)) {
        return;
    }
    if (!ceiling_pacer_.may_call(now)) {
        return; // run() is called again, at the latest by the maintenance of the process
    }
    const auto ceilings = budgets_.ceilings().plan(budgets_.spend(now), now);
    if (!ceilings) {
        return;
    }
    ceiling_pacer_.called();
    const spend_row row{incarnation_, address_, *store_time, *ceilings};
    budgets_.ceilings().sent(*ceilings, now);
    // Conditional on the row's version, so that an earlier write whose acknowledgement was lost
    // cannot take effect after this one.
    rows_.commit({{{own_spend_key(), spend_row_version_}}, {{own_spend_key(), to_text(row)}}, {}},
                 [this, now](const store_commit& done) {
                     const bool is_committed = done.outcome.outcome == commit_outcome::committed;
                     ceilings_unacknowledged_ = !is_committed;
                     if (is_committed) {
                         spend_row_version_ = done.outcome.versions.at(0);
                         budgets_.ceilings().acknowledged(loop_.now() - now);
                         ceiling_pacer_.answered();
                     } else {
                         for (const auto& current_row : done.current) {
                             spend_row_version_ = current_row.version;
                         }
                         budgets_.ceilings().failed();
                         if (done.outcome.outcome != commit_outcome::conflict) {
                             ceiling_pacer_.refused(loop_.now());
                         }
                     }
                     schedule_run(time_ms{0});
                 });
}

void grant_service::begin_store_era(row_era era)
{
    rows_.begin_era(era);
    ledgers_open_ = false;
    if (std::exchange(era_known_, true)) {
        budgets_.begin_store_era();
    }
    in_flight_ = 0;
    spend_row_version_ = 0;
    ceilings_unacknowledged_ = false;
}

void grant_service::open_ledgers()
{
    ledgers_open_ = true;
    recover();
    run();
}

void grant_service::registered(const grant_registration& held, token_count granted,
                               const std::vector<table_row>& rows)
{
    budgets_.registered(held, granted, rows);
    schedule_run(time_ms{0});
}

// The rows of an earlier era show neither what a predecessor had drawn nor what it had spent when
// it ended. What it held stays charged.
void grant_service::recover()
{
    rows_.read_prefix(spend_key(instance_, ""), [this](const result<row_page>& page) {
        if (!page) {
            constexpr time_ms retry_delay{300};
            loop_.schedule(retry_delay, [this, era = rows_.era()] {
                if (era == rows_.era()) {
                    recover();
                }
            });
            return;
        }
        for (const auto& stored : page->rows) {
            const auto predecessor = parse_spend_row(stored.row.value);
            if (!predecessor || predecessor->incarnation == incarnation_ ||
                predecessor->address != address_) {
                continue;
            }
            const auto age = page->store_time - predecessor->stamp;
            log_.write("predecessor",
                       log_fields{}.add("incarnation", predecessor->incarnation).add("age_ms", age),
                       loop_.now());
            // One transaction per account, since other instances change the ledgers concurrently.
            for (const auto& [account, ceiling] : predecessor->ceilings) {
                auto single_account = *predecessor;
                single_account.ceilings = {{account, ceiling}};
                reclaim(single_account, age, 0, {});
            }
        }
    });
}

void grant_service::reclaim(const spend_row& predecessor, time_ms age, int attempt,
                            const std::vector<table_row>& rows)
{
    constexpr int max_attempts = 100;
    // Randomised, as all successors after a restart of the whole fleet change the same ledgers.
    constexpr time_ms min_delay{5};
    std::uniform_int_distribution<std::int64_t> spread{0, min_delay.count() * instances_};
    const auto backoff = min_delay + time_ms{spread(random_)};
    if (attempt >= max_attempts) {
        log_.write("reclaim_given_up", log_fields{}.add("incarnation", predecessor.incarnation),
                   loop_.now());
        return;
    }
    transaction change;
    if (attempt == 0) {
        // Conditions that cannot all hold, so that the conflict returns the current rows.
        for (const auto& name : reclaim_read_set(predecessor)) {
            change.conditions.push_back({name, 0});
        }
    } else {
        auto planned = plan_reclaim(predecessor, age, rows);
        if (!planned) {
            log_.write("reclaim_given_up", log_fields{}.add("why", planned.error().message),
                       loop_.now());
            return;
        }
        change = std::move(planned).value();
    }
    const bool is_reclaim_write = attempt > 0;
    rows_.commit(change, [=, this](const store_commit& done) {
        if (done.outcome.outcome == commit_outcome::committed && is_reclaim_write) {
            log_fields fields;
            fields.add("incarnation", predecessor.incarnation)
                .add("account", predecessor.ceilings.begin()->first);
            if (!change.writes.empty()) {
                const auto closed = parse_grant_row(change.writes.front().value);
                fields.add("charged", closed ? closed->granted : 0);
                // What the predecessor may have spent after it wrote its ceilings.
                const auto& ceiling = predecessor.ceilings.begin()->second;
                fields.add("charged_by_age", ceiling.at(age) - ceiling.base);
            }
            log_.write("reclaimed", fields, loop_.now());
            return;
        }
        auto known_rows = rows;
        for (const auto& row : done.current) {
            std::erase_if(known_rows, [&row](const table_row& old) { return old.key == row.key; });
            known_rows.push_back(row);
        }
        loop_.schedule(backoff, [=, this, era = rows_.era()] {
            if (era != rows_.era()) {
                return;
            }
            reclaim(predecessor, age, known_rows.empty() ? 0 : attempt + 1, known_rows);
        });
    });
}

void grant_service::send(const grant_write& write)
{
    ++in_flight_;
    const auto sent_at = loop_.now();
    const auto& change = write.planned.change;
    rows_.commit(change, [this, sent_at, write](const store_commit& done) {
        --in_flight_;
        const auto now = loop_.now();
        if (done.outcome.outcome == commit_outcome::committed) {
            announce(write.planned.changes, done.outcome.versions);
        }
        budgets_.committed(write, done.outcome, done.current, now);
        metrics_.count(std::string{"grant_writes_"}.append(name_of(done.outcome.outcome)));
        for (const auto& planned : write.planned.changes) {
            log_fields fields;
            fields.add("account", planned.budget)
                .add("granted", planned.granted)
                .add("free", planned.free_after)
                .add("row_version", planned.row_version)
                .add("outcome", name_of(done.outcome.outcome))
                .add("took_ms", now - sent_at);
            log_.write("grant", fields, now);
        }
        if (done.outcome.outcome == commit_outcome::committed ||
            done.outcome.outcome == commit_outcome::conflict) {
            pacer_.answered();
            if (done.outcome.outcome == commit_outcome::conflict) {
                pacer_.conflicted();
            }
            schedule_run(waiting_run_delay);
        } else {
            pacer_.refused(now);
        }
        run();
    });
}

void grant_service::announce(const std::vector<planned_change>& changes,
                             const std::vector<std::int64_t>& versions)
{
    for (const auto& change : changes) {
        if (on_granted && !change.closed) {
            on_granted({change.budget, incarnation_, std::max<token_count>(0, change.granted),
                        rows_.era().value_or(0), versions.at(change.write_index)});
        }
    }
}

void grant_service::read_ledger(const std::string& account)
{
    ++in_flight_;
    rows_.read_row(account_budgets::ledger_row_key(account), [this](const result<row_page>& page) {
        --in_flight_;
        if (page) {
            std::vector<table_row> rows;
            for (const auto& stored : page->rows) {
                rows.push_back(stored.row);
            }
            budgets_.rows_read(rows, loop_.now());
        }
        run();
    });
}

void grant_service::serve_waiters(bool last_try_for_all)
{
    const auto now = loop_.now();
    std::list<waiter> pending;
    pending.swap(waiters_);
    for (auto it = pending.begin(); it != pending.end();) {
        const bool last_try = last_try_for_all || now >= it->deadline;
        // A refused reservation counts as another shortage, so skips attempts that cannot succeed.
        if (!last_try && budgets_.book().available(it->account) < it->tokens &&
            budgets_.book().platform_reachable() &&
            !budgets_.is_exhausted(it->account, it->tokens)) {
            waiters_.splice(waiters_.end(), pending, it++);
            continue;
        }
        const auto outcome = budgets_.reserve(it->account, it->tokens, now);
        const bool decided = outcome || !outcome.refill_may_help || last_try;
        auto callback = decided ? std::move(it->callback) : reserve_callback{};
        if (!decided) {
            waiters_.splice(waiters_.end(), pending, it++);
            continue;
        }
        if (outcome) {
            last_wait_timeouts_.erase(it->account);
        } else if (last_try) {
            last_wait_timeouts_[it->account] = now;
        }
        it = pending.erase(it);
        callback(outcome);
    }
}

void grant_service::set_roles(std::function<grant_role(std::string_view account)> roles)
{
    budgets_.set_roles(std::move(roles), loop_.now());
}

void grant_service::set_fleet(const instance_counts& fleet)
{
    instances_ = fleet.listed;
    budgets_.set_instances(fleet.listed);
    budgets_.ceilings().set_instances(fleet.listed);
    pacer_.set_fleet(fleet);
}

void grant_service::begin_close()
{
    budgets_.begin_close();
    serve_waiters(true);
    run();
}

} // namespace jujubevalve
