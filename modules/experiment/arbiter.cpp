#include "experiment/arbiter.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>

namespace jujubevalve::experiment
{

namespace
{
constexpr time_ms leaving_target = seconds(3);
} // namespace

std::uint64_t request_of_key(std::string_view key)
{
    const auto at = key.rfind("/r");
    return at == std::string_view::npos
               ? 0
               : std::strtoull(std::string{key.substr(at + 2)}.c_str(), nullptr, 10);
}

void arbiter::set_limit(const std::string& budget, token_count limit, token_count margin)
{
    auto& item = budgets_[budget];
    item.limit = limit;
    item.margin = margin;
}

void arbiter::add_history(const std::string& budget, token_count spent)
{
    auto& item = budgets_[budget];
    item.spent += spent;
    item.settled += spent;
}

void arbiter::request_made(const sim_request& request)
{
    ++report_.requests;
    auto& item = requests_[request.id];
    item.account = request.account;
    item.idempotent = request.idempotent;
}

void arbiter::run_started(const sim_request& request, const std::string& incarnation)
{
    auto& item = budgets_[request.budget];
    item.spent += request.shape.used;
    item.reserved += request.reservation;
    auto& excess = excess_[request.budget];
    excess = std::max(excess, item.spent - item.limit);
    spent_by_[{incarnation, request.budget}] += request.shape.used;
    auto& truth = requests_[request.id];
    if (++truth.runs == 2 && !truth.idempotent) {
        ++report_.ran_twice;
    }
}

void arbiter::run_ended(const sim_request& request, const std::string& incarnation,
                        token_count used)
{
    auto& item = budgets_[request.budget];
    item.spent -= request.shape.used - used;
    item.settled += used;
    item.reserved -= request.reservation;
    spent_by_[{incarnation, request.budget}] -= request.shape.used - used;
}

void arbiter::sent_to_leaving(time_ms since)
{
    if (since > leaving_target) {
        ++report_.late_server_work;
    }
}

void arbiter::attempt_refused(const sim_request& request, const sim_reply& reply)
{
    ++report_.refused_attempts;
    auto& truth = requests_[request.id];
    // An idempotent request may have run for an earlier attempt at another router; its refusal
    // speaks of this attempt and is judged when the request ends.
    if (reply.outcome == run_outcome::not_run && !truth.idempotent && truth.runs > 0 &&
        !std::exchange(truth.told_not_run, true)) {
        ++report_.untrue_not_run;
    }
    if (trace_) {
        std::cerr << fmt::format("refused request {} attempt {} {} code {} {}\n", request.id,
                                 request.attempt, request.budget, static_cast<int>(reply.code),
                                 to_string(reply.outcome));
    }
}

void arbiter::request_ended(const sim_request& request, caller_outcome outcome,
                            const sim_reply& last, std::int64_t free_slots)
{
    auto& truth = requests_[request.id];
    if (outcome != caller_outcome::answered && at_drain_.contains(request.id)) {
        ++report_.cut_by_drain;
    }
    switch (outcome) {
    case caller_outcome::answered:
        ++report_.answered;
        truth.answered = true;
        if (last.content != request.id || !last.whole) {
            ++report_.wrong_or_partial_answers;
        }
        return;
    case caller_outcome::outcome_unknown:
        ++report_.outcome_unknown;
        return;
    case caller_outcome::unreachable:
        ++report_.unreachable;
        break;
    case caller_outcome::refused_not_run:
        ++report_.refused_not_run;
        if (truth.runs > 0 && !std::exchange(truth.told_not_run, true)) {
            ++report_.untrue_not_run;
        }
        truth.told_not_run = true;
        break;
    }
    judge_refusal(request, last, free_slots);
}

void arbiter::judge_refusal(const sim_request& request, const sim_reply& last,
                            std::int64_t free_slots)
{
    const auto& item = budgets_[request.budget];
    const auto remainder = item.limit - item.settled - item.reserved;
    const bool is_false = remainder >= request.reservation && free_slots > 0;
    if (trace_) {
        std::cerr << fmt::format("{} request {} {} needs {} of {} (margin {}), {} slots, code {}\n",
                                 is_false ? "FALSE" : "true", request.id, request.budget,
                                 request.reservation, remainder, item.margin, free_slots,
                                 static_cast<int>(last.code));
    }
    if (!is_false) {
        return;
    }
    ++report_.false_refusals;
    report_.false_refusals_low += remainder < item.limit / 5 ? 1 : 0;
    report_.false_refusals_margin += remainder - item.margin < request.reservation ? 1 : 0;
}

void arbiter::died(const std::string& incarnation, const std::string& budget, token_count held)
{
    dead_.insert(incarnation);
    report_.stranded_tokens += std::max<token_count>(0, held);
    const auto limit = std::max<token_count>(1, budgets_[budget].limit);
    report_.stranded_share =
        std::max(report_.stranded_share, static_cast<double>(held) / static_cast<double>(limit));
}

void arbiter::config_adopted(time_ms delay)
{
    report_.config_max_delay_ms = std::max(report_.config_max_delay_ms, delay.count());
}

void arbiter::check_bill(const std::vector<bill_entry>& bill)
{
    for (const auto& [budget, excess] : excess_) {
        report_.overspend_tokens += std::max<token_count>(0, excess);
    }
    std::map<std::uint64_t, int> entries;
    for (const auto& entry : bill) {
        ++entries[request_of_key(entry.key)];
    }
    for (const auto& [id, truth] : requests_) {
        const auto found = entries.find(id);
        const int count = found == entries.end() ? 0 : found->second;
        report_.billed_twice += count > 1 ? 1 : 0;
        report_.answered_unbilled += truth.answered && count == 0 ? 1 : 0;
        report_.billed_not_run += truth.runs == 0 && count > 0 ? 1 : 0;
    }
}

void arbiter::check_closed_grant(const std::string& incarnation, const std::string& budget,
                                 const grant_row& row)
{
    const auto spent = spent_by_[{incarnation, budget}];
    const auto held = row.granted - sum_of(row.sent) + sum_of(row.received) - spent;
    report_.stranded_after_recovery += std::max<token_count>(0, held);
    report_.closed_below_spend += row.closed ? std::max<token_count>(0, -held) : 0;
}

} // namespace jujubevalve::experiment
