#include "gateway/grant_service.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Writes and reads under way at a time; each covers many accounts.
constexpr int most_in_flight = 4;
/// Pause before the next look while requests wait for tokens.
constexpr time_ms waiting_pause{15};

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
                             gateway_metrics& metrics, std::string incarnation,
                             account_budget_options options)
    : loop_{loop}
    , store_{store}
    , log_{log}
    , metrics_{metrics}
    , budgets_{std::move(incarnation), options}
{
}

void grant_service::set_limits(const std::map<std::string, token_count>& limits)
{
    budgets_.set_limits(limits, loop_.now());
    run();
}

std::uint64_t grant_service::reserve(const std::string& account, token_count tokens,
                                     time_ms longest_wait, granted answer)
{
    const auto outcome = budgets_.reserve(account, tokens, loop_.now());
    if (outcome || !outcome.refill_may_help) {
        answer(outcome);
        schedule_run(time_ms{0});
        return 0;
    }
    waiters_.push_back(
        {++last_waiter_, account, tokens, loop_.now() + longest_wait, std::move(answer)});
    schedule_run(time_ms{0});
    return last_waiter_;
}

void grant_service::cancel(std::uint64_t id)
{
    waiters_.remove_if([id](const waiter& item) { return item.id == id; });
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
    while (in_flight_ < most_in_flight) {
        auto step = budgets_.next_step(instances_, loop_.now());
        if (step.write) {
            send(std::move(*step.write));
        } else if (step.read_ledger) {
            read_ledger(*step.read_ledger);
        } else {
            break;
        }
    }
    serve_waiters(false);
    if (!waiters_.empty()) {
        schedule_run(waiting_pause);
    }
}

void grant_service::send(grant_write write)
{
    ++in_flight_;
    const auto sent_at = loop_.now();
    const auto& change = write.planned.change;
    store_.commit(change, [this, sent_at, write](const store_commit& done) {
        --in_flight_;
        const auto now = loop_.now();
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
        run();
    });
}

void grant_service::read_ledger(const std::string& account)
{
    ++in_flight_;
    const auto name = split_row_name(account_budgets::ledger_row_key(account));
    // The range ends behind the one key.
    store_.read(name.table, name.key, name.key + '\x01', [this](const result<row_page>& page) {
        --in_flight_;
        if (page) {
            std::vector<table_row> rows;
            for (const auto& seen : page->rows) {
                rows.push_back(seen.row);
            }
            budgets_.rows_read(rows, loop_.now());
        }
        run();
    });
}

void grant_service::serve_waiters(bool final_for_all)
{
    const auto now = loop_.now();
    std::list<waiter> open;
    open.swap(waiters_);
    for (auto it = open.begin(); it != open.end();) {
        const auto outcome = budgets_.reserve(it->account, it->tokens, now);
        const bool over = outcome || !outcome.refill_may_help || final_for_all || now >= it->until;
        auto answer = over ? std::move(it->answer) : granted{};
        if (!over) {
            waiters_.splice(waiters_.end(), open, it++);
            continue;
        }
        it = open.erase(it);
        answer(outcome);
    }
}

void grant_service::begin_close()
{
    budgets_.begin_close();
    serve_waiters(true);
    run();
}

} // namespace jujubevalve
