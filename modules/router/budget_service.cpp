#include "router/budget_service.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace jujubevalve
{

budget_service::budget_service(std::string incarnation, std::int64_t term,
                               const std::string& policy, time_ms horizon, http_platform& platform,
                               counters& counts)
    : book_{incarnation}
    , planner_{incarnation, term}
    , writer_{std::move(incarnation)}
    , policy_{make_policy(policy, horizon)}
    , platform_{platform}
    , counts_{counts}
{
}

budget_service::policy_variant budget_service::make_policy(const std::string& name, time_ms horizon)
{
    if (name == "static-shares") {
        return static_shares{};
    }
    if (name == "platform-per-request") {
        return platform_per_request{};
    }
    return demand_driven{horizon};
}

void budget_service::set_config(const config_snapshot& config)
{
    budget_pools sources;
    for (const auto& [name, row] : config.pools()) {
        sources[row.budget].push_back(name);
    }
    const std::lock_guard lock{mutex_};
    planner_.set_budget_pools(std::move(sources));
}

result<spend_ticket> budget_service::reserve(const std::string& budget, token_count tokens,
                                             time_ms wait)
{
    const auto deadline = clock_.now() + wait;
    std::unique_lock lock{mutex_};
    for (;;) {
        const auto outcome = book_.reserve(budget, tokens, clock_.now());
        if (outcome) {
            return spend_ticket{outcome.id, budget, tokens, {}, 0};
        }
        const auto remaining = deadline - clock_.now();
        if (!outcome.refill_may_help || remaining <= time_ms{0}) {
            return refusal(budget, outcome.code);
        }
        if (wake_refill_) {
            wake_refill_();
        }
        changed_.wait_for(lock, std::chrono::milliseconds{remaining.count()});
    }
}

failure budget_service::refusal(const std::string& budget, result_code code) const
{
    switch (code) {
    case result_code::budget_exhausted:
        return {code, "budget \"" + budget + "\" has too few tokens left for this request"};
    case result_code::budget_unavailable:
        return {code, "this instance holds too few tokens of budget \"" + budget +
                          "\" and the platform does not answer"};
    default:
        return {code, "budget \"" + budget + "\": " + std::string{describe(code).name}};
    }
}

result<std::string> budget_service::assign(spend_ticket& ticket, const std::string& server)
{
    const std::lock_guard lock{mutex_};
    const auto n = sequences_[server].take();
    if (!n) {
        return failure{result_code::overloaded,
                       "too many unsettled requests to backend server \"" + server + "\""};
    }
    ticket.server = server;
    ticket.number = *n;
    running_requests_[{server, *n}] = {ticket.budget, ticket.reserved};
    return server_request_key(book_.incarnation(), server, *n);
}

void budget_service::unassign(spend_ticket& ticket, bool number_known)
{
    const std::lock_guard lock{mutex_};
    auto& sequence = sequences_[ticket.server];
    number_known ? sequence.settled(ticket.number) : sequence.not_delivered(ticket.number);
    running_requests_.erase({ticket.server, ticket.number});
    ticket.server.clear();
    ticket.number = 0;
}

void budget_service::settle(const spend_ticket& ticket, const spend_report& report)
{
    const std::lock_guard lock{mutex_};
    if (report.used) {
        book_.settle(ticket.reservation, *report.used, clock_.now());
    } else {
        book_.settle_in_full(ticket.reservation, clock_.now());
    }
    if (report.bill) {
        writer_.add_bill(*report.bill);
    }
    if (!ticket.server.empty()) {
        if (report.number_settled) {
            sequences_[ticket.server].settled(ticket.number);
        }
        running_requests_.erase({ticket.server, ticket.number});
    }
}

void budget_service::release(const spend_ticket& ticket)
{
    const std::lock_guard lock{mutex_};
    book_.release(ticket.reservation);
    changed_.notify_all();
}

void budget_service::settle_number(const std::string& server, std::int64_t number)
{
    const std::lock_guard lock{mutex_};
    sequences_[server].settled(number);
}

void budget_service::add_bill(bill_entry entry)
{
    const std::lock_guard lock{mutex_};
    writer_.add_bill(std::move(entry));
}

void budget_service::refill(std::int64_t live_instances)
{
    const std::lock_guard serial_lock{refill_mutex_};
    std::set<std::string> handled;
    for (;;) {
        refill_batch batch;
        {
            const std::lock_guard lock{mutex_};
            batch = std::visit(
                [&](const auto& policy) {
                    return book_.plan_refill(policy, live_instances, clock_.now());
                },
                policy_);
        }
        // A policy may request again what it has just returned. A budget therefore changes only
        // once per call; otherwise this loop might never end and would block a drain.
        const bool repeats_budget =
            std::any_of(batch.budgets.begin(), batch.budgets.end(),
                        [&](const auto& budget) { return !handled.insert(budget).second; });
        if (repeats_budget) {
            const std::lock_guard lock{mutex_};
            book_.give_up(batch, true, clock_.now());
            changed_.notify_all(); // waiting requests trigger a refill again
            break;
        }
        if (batch.empty() || !run_batch(batch, live_instances)) {
            break;
        }
    }
    const std::lock_guard lock{mutex_};
    book_.drop_unused(clock_.now());
}

bool budget_service::run_batch(const refill_batch& batch, std::int64_t live_instances)
{
    std::vector<std::string> keys;
    {
        const std::lock_guard lock{mutex_};
        keys = planner_.read_set(book_, batch);
    }
    ++counts_.at("platform_reads");
    const auto rows = platform_.read(keys);
    if (!rows) {
        const std::lock_guard lock{mutex_};
        book_.give_up(batch, false, clock_.now());
        changed_.notify_all();
        return false;
    }
    const auto planned = plan(batch, live_instances, *rows);
    if (!planned || planned->empty()) {
        const std::lock_guard lock{mutex_};
        book_.give_up(batch, true, clock_.now());
        changed_.notify_all();
        return planned.has_value();
    }
    ++counts_.at("platform_writes");
    const auto outcome = platform_.commit(planned->change);
    const std::lock_guard lock{mutex_};
    book_.apply(batch, *planned, outcome, clock_.now());
    changed_.notify_all();
    return outcome.outcome == commit_outcome::committed;
}

result<planned_refill> budget_service::plan(const refill_batch& batch, std::int64_t live_instances,
                                            const std::vector<table_row>& rows)
{
    const std::lock_guard lock{mutex_};
    const auto now = clock_.now();
    if (batch.purpose == refill_purpose::close) {
        return planner_.build_close(book_, batch, rows, now);
    }
    return std::visit(
        [&](const auto& policy) {
            return planner_.build(book_, policy, live_instances, batch, rows, now);
        },
        policy_);
}

bool budget_service::write_segment()
{
    const std::lock_guard serial_lock{segment_mutex_};
    std::optional<segment> next;
    {
        const std::lock_guard lock{mutex_};
        next = writer_.has_pending()
                   ? writer_.pending()
                   : writer_.cut(book_.take_changed_spend(), sequence_marks(), open_requests());
    }
    if (!next) {
        return true;
    }
    ++counts_.at("platform_writes");
    if (!platform_.put(segment_name(next->incarnation, next->seq), to_text(*next))) {
        ++counts_.at("segments_delayed");
        return false;
    }
    ++counts_.at("segments_written");
    const std::lock_guard lock{mutex_};
    writer_.acknowledge(next->seq);
    return true;
}

std::vector<sequence_mark> budget_service::sequence_marks() const
{
    std::vector<sequence_mark> all;
    for (const auto& [server, sequence] : sequences_) {
        all.push_back({server, sequence.snapshot().next});
    }
    return all;
}

std::vector<open_request> budget_service::open_requests() const
{
    std::vector<open_request> all;
    for (const auto& [server, sequence] : sequences_) {
        for (const auto n : sequence.snapshot().unsettled) {
            const auto found = running_requests_.find({server, n});
            // An unsettled number without a running request may be reused after this segment.
            const auto request =
                found == running_requests_.end() ? running_request{} : found->second;
            all.push_back({server, n, request.budget, request.reserved});
        }
    }
    return all;
}

bool budget_service::close()
{
    const std::lock_guard serial_lock{refill_mutex_};
    {
        const std::lock_guard lock{mutex_};
        book_.begin_close();
    }
    for (;;) {
        refill_batch batch;
        {
            const std::lock_guard lock{mutex_};
            batch = book_.plan_close(clock_.now());
        }
        if (batch.empty() || !run_batch(batch, 1)) {
            break;
        }
    }
    const std::lock_guard lock{mutex_};
    return book_.all_closed();
}

std::int64_t budget_service::last_segment() const
{
    const std::lock_guard lock{mutex_};
    return writer_.last_seq();
}

token_count budget_service::available(const std::string& budget) const
{
    const std::lock_guard lock{mutex_};
    return book_.available(budget);
}

std::vector<budget_spend> budget_service::largest_available(std::size_t count) const
{
    const std::lock_guard lock{mutex_};
    return book_.largest_available(count);
}

bool budget_service::is_stopped() const
{
    const std::lock_guard lock{mutex_};
    return book_.is_stopped();
}

bool budget_service::is_fenced() const
{
    const std::lock_guard lock{mutex_};
    return book_.is_fenced();
}

bool budget_service::platform_reachable() const
{
    const std::lock_guard lock{mutex_};
    return book_.platform_reachable();
}

void budget_service::stop()
{
    const std::lock_guard lock{mutex_};
    book_.stop();
}

void budget_service::export_counts()
{
    const std::lock_guard lock{mutex_};
    const auto& counts = book_.counts();
    counts_.at("budget_reservations") = counts.reservations;
    counts_.at("budget_settled") = counts.settled;
    counts_.at("budget_released") = counts.released;
    counts_.at("usage_above_reservation") = counts.usage_above_reservation;
    counts_.at("budget_refused_exhausted") = counts.refused_exhausted;
    counts_.at("budget_refused_unavailable") = counts.refused_unavailable;
    counts_.at("grant_refills_committed") = counts.refills_committed;
    counts_.at("grant_refills_conflicted") = counts.refills_conflicted;
    counts_.at("grant_refills_unknown") = counts.refills_unknown;
    counts_.at("grant_refills_unavailable") = counts.refills_unavailable;
    counts_.at("grant_budgets_held") = static_cast<std::int64_t>(book_.budgets().size());
}

} // namespace jujubevalve
