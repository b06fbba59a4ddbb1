#include "experiment/invariant_checker.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>

namespace jujubevalve::experiment
{

namespace
{
constexpr time_ms max_work_after_leaving = seconds(3);
} // namespace

std::uint64_t request_of_key(std::string_view key)
{
    const auto at = key.rfind("/r");
    return at == std::string_view::npos
               ? 0
               : std::strtoull(std::string{key.substr(at + 2)}.c_str(), nullptr, 10);
}

void invariant_checker::set_limit(const std::string& budget, token_count limit, token_count margin)
{
    auto& account = budgets_[budget];
    account.limit = limit;
    account.margin = margin;
}

void invariant_checker::add_history(const std::string& budget, token_count spent)
{
    auto& account = budgets_[budget];
    account.spent += spent;
    account.settled += spent;
}

void invariant_checker::request_created(const sim_request& request)
{
    ++report_.requests;
    auto& state = requests_[request.id];
    state.account = request.account;
    state.idempotent = request.idempotent;
}

void invariant_checker::run_started(const sim_request& request, const std::string& incarnation)
{
    auto& account = budgets_[request.budget];
    account.spent += request.shape.used;
    account.reserved += request.reservation;
    auto& excess = max_excess_[request.budget];
    excess = std::max(excess, account.spent - account.limit);
    spent_by_incarnation_[{incarnation, request.budget}] += request.shape.used;
    auto& state = requests_[request.id];
    if (++state.runs == 2 && !state.idempotent) {
        ++report_.ran_twice;
    }
}

void invariant_checker::run_ended(const sim_request& request, const std::string& incarnation,
                                  token_count used)
{
    auto& account = budgets_[request.budget];
    account.spent -= request.shape.used - used;
    account.settled += used;
    account.reserved -= request.reservation;
    spent_by_incarnation_[{incarnation, request.budget}] -= request.shape.used - used;
}

void invariant_checker::request_sent_to_leaving_server(time_ms elapsed)
{
    if (elapsed > max_work_after_leaving) {
        ++report_.late_server_work;
    }
}

void invariant_checker::attempt_refused(const sim_request& request, const sim_reply& reply)
{
    ++report_.refused_attempts;
    auto& state = requests_[request.id];
    // An idempotent request may have run for an earlier attempt at another router. Its refusal
    // applies to this attempt only, so the check is made when the request ends.
    if (reply.outcome == run_outcome::not_run && !state.idempotent && state.runs > 0 &&
        !std::exchange(state.reported_not_run, true)) {
        ++report_.untrue_not_run;
    }
    if (trace_) {
        std::cerr << fmt::format("refused request {} attempt {} {} code {} {}\n", request.id,
                                 request.attempt, request.budget, static_cast<int>(reply.code),
                                 to_string(reply.outcome));
    }
}

void invariant_checker::request_ended(const sim_request& request, caller_outcome outcome,
                                      const sim_reply& last, std::int64_t free_slots)
{
    auto& state = requests_[request.id];
    if (outcome != caller_outcome::answered && in_flight_at_drain_.contains(request.id)) {
        ++report_.cut_by_drain;
    }
    switch (outcome) {
    case caller_outcome::answered:
        ++report_.answered;
        state.answered = true;
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
        if (state.runs > 0 && !std::exchange(state.reported_not_run, true)) {
            ++report_.untrue_not_run;
        }
        state.reported_not_run = true;
        break;
    }
    classify_refusal(request, last, free_slots);
}

void invariant_checker::classify_refusal(const sim_request& request, const sim_reply& last,
                                         std::int64_t free_slots)
{
    const auto& account = budgets_[request.budget];
    const auto remainder = account.limit - account.settled - account.reserved;
    const bool is_false = remainder >= request.reservation && free_slots > 0;
    if (trace_) {
        std::cerr << fmt::format("{} request {} {} needs {} of {} (margin {}), {} slots, code {}\n",
                                 is_false ? "FALSE" : "true", request.id, request.budget,
                                 request.reservation, remainder, account.margin, free_slots,
                                 static_cast<int>(last.code));
    }
    if (!is_false) {
        return;
    }
    ++report_.false_refusals;
    report_.false_refusals_low += remainder < account.limit / 5 ? 1 : 0;
    report_.false_refusals_margin += remainder - account.margin < request.reservation ? 1 : 0;
}

void invariant_checker::router_killed(const std::string& incarnation, const std::string& budget,
                                      token_count held)
{
    killed_.insert(incarnation);
    report_.stranded_tokens += std::max<token_count>(0, held);
    const auto limit = std::max<token_count>(1, budgets_[budget].limit);
    report_.stranded_share =
        std::max(report_.stranded_share, static_cast<double>(held) / static_cast<double>(limit));
}

void invariant_checker::config_adopted(time_ms delay)
{
    report_.config_max_delay_ms = std::max(report_.config_max_delay_ms, delay.count());
}

void invariant_checker::check_bill(const std::vector<bill_entry>& bill)
{
    for (const auto& [budget, excess] : max_excess_) {
        report_.overspend_tokens += std::max<token_count>(0, excess);
    }
    std::map<std::uint64_t, int> entries;
    for (const auto& entry : bill) {
        ++entries[request_of_key(entry.key)];
    }
    for (const auto& [id, state] : requests_) {
        const auto found = entries.find(id);
        const int count = found == entries.end() ? 0 : found->second;
        report_.billed_twice += count > 1 ? 1 : 0;
        report_.answered_unbilled += state.answered && count == 0 ? 1 : 0;
        report_.billed_not_run += state.runs == 0 && count > 0 ? 1 : 0;
    }
}

void invariant_checker::check_closed_grant(const std::string& incarnation,
                                           const std::string& budget, const grant_row& row)
{
    const auto spent = spent_by_incarnation_[{incarnation, budget}];
    const auto held = row.granted - sum_of(row.sent) + sum_of(row.received) - spent;
    report_.stranded_after_recovery += std::max<token_count>(0, held);
    report_.closed_below_spend += row.closed ? std::max<token_count>(0, -held) : 0;
}

} // namespace jujubevalve::experiment
