#include "routing/admission_queue.h"

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Minimum cost of a request; bounds the number of requests that one round admits.
constexpr token_count min_cost_tokens = 64;
} // namespace

admission_queue::admission_queue(admission_options options)
    : options_{options}
{
    // With a quantum of 0 no request could ever be admitted.
    options_.quantum_tokens = std::max(options_.quantum_tokens, min_cost_tokens);
}

admission_change admission_queue::set_share(std::int64_t slots, std::int64_t instances, time_ms now)
{
    const auto share = slots / std::max<std::int64_t>(1, instances);
    share_ = static_cast<std::size_t>(std::max<std::int64_t>(1, share));
    admission_change change;
    admit(change, now);
    return change;
}

admission_change admission_queue::offer(admission_request request, time_ms now)
{
    admission_change change;
    if (waiting_.empty() && running_.size() < share_) {
        running_.emplace(request.id, now);
        change.admitted.push_back(request.id);
        return change;
    }
    if (request.deadline <= now) {
        change.refused.push_back(make_refusal(request.id, "its deadline has passed"));
        return change;
    }
    if (waiting_.size() >= options_.max_waiting) {
        refuse_when_full(change, request);
        if (waiting_.size() >= options_.max_waiting) {
            return change;
        }
    }
    enqueue(std::move(request));
    return change;
}

admission_change admission_queue::release(std::uint64_t id, time_ms now)
{
    admission_change change;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return change;
    }
    // Exponential moving average over about the last ten requests.
    constexpr double smoothing_factor = 0.1;
    const auto run_ms = static_cast<double>((now - found->second).count());
    mean_run_ms_ += smoothing_factor * (run_ms - mean_run_ms_);
    running_.erase(found);
    admit(change, now);
    return change;
}

bool admission_queue::cancel(std::uint64_t id)
{
    if (!waiting_.contains(id)) {
        return false;
    }
    remove(id);
    return true;
}

admission_change admission_queue::expire(time_ms now)
{
    admission_change change;
    while (!waiting_by_deadline_.empty() && waiting_by_deadline_.begin()->first <= now) {
        const auto id = waiting_by_deadline_.begin()->second;
        remove(id);
        change.refused.push_back(make_refusal(id, "no slot was free before its deadline"));
    }
    return change;
}

time_ms admission_queue::retry_after() const
{
    const auto queued_runs_per_slot =
        static_cast<double>(waiting_.size() + 1) / static_cast<double>(share_);
    const auto estimate_ms = static_cast<std::int64_t>(queued_runs_per_slot * mean_run_ms_);
    return std::clamp(time_ms{estimate_ms}, seconds(1), options_.max_retry_after);
}

void admission_queue::admit(admission_change& change, time_ms now)
{
    while (running_.size() < share_ && !waiting_.empty()) {
        const auto id = select_next();
        remove(id);
        running_.emplace(id, now);
        change.admitted.push_back(id);
    }
}

std::uint64_t admission_queue::select_next()
{
    for (;;) {
        auto& account = accounts_.at(round_robin_.front());
        const auto id = account.requests.begin()->second;
        const auto request_cost = clamped_cost(waiting_.at(id).request);
        if (account.deficit >= request_cost) {
            account.deficit -= request_cost;
            return id;
        }
        account.deficit += options_.quantum_tokens;
        round_robin_.splice(round_robin_.end(), round_robin_, round_robin_.begin());
    }
}

void admission_queue::enqueue(admission_request request)
{
    const queue_key key{-request.priority, ++last_arrival_number_};
    auto& account = accounts_[request.account];
    if (account.requests.empty()) {
        account.turn_position = round_robin_.insert(round_robin_.end(), request.account);
    }
    accounts_by_length_.erase({account.requests.size(), request.account});
    account.requests.emplace(key, request.id);
    accounts_by_length_.emplace(account.requests.size(), request.account);
    waiting_by_deadline_.emplace(request.deadline, request.id);
    const auto id = request.id;
    waiting_.emplace(id, waiting_request{std::move(request), key});
}

admission_request admission_queue::remove(std::uint64_t id)
{
    const auto found = waiting_.find(id);
    auto request = std::move(found->second.request);
    const auto account_it = accounts_.find(request.account);
    auto& account = account_it->second;
    accounts_by_length_.erase({account.requests.size(), request.account});
    account.requests.erase(found->second.key);
    waiting_by_deadline_.erase({request.deadline, id});
    waiting_.erase(found);
    if (account.requests.empty()) {
        // Deficit round robin resets the deficit of an account whose queue is empty.
        round_robin_.erase(account.turn_position);
        accounts_.erase(account_it);
    } else {
        accounts_by_length_.emplace(account.requests.size(), request.account);
    }
    return request;
}

void admission_queue::refuse_when_full(admission_change& change, const admission_request& request)
{
    const auto& [max_length, longest_account] = *accounts_by_length_.rbegin();
    const auto own_account = accounts_.find(request.account);
    const auto own_length =
        own_account == accounts_.end() ? 0 : own_account->second.requests.size();
    if (own_length + 1 >= max_length) {
        change.refused.push_back(make_refusal(request.id, "the queue is full"));
        return;
    }
    const auto newest_request = std::prev(accounts_.at(longest_account).requests.end())->second;
    change.refused.push_back(make_refusal(
        newest_request, "the queue is full and the account has the most waiting requests"));
    remove(newest_request);
}

token_count admission_queue::clamped_cost(const admission_request& request) const
{
    // Caps the cost so that a request at the head of its account is admitted after at most this
    // many rounds.
    constexpr token_count max_rounds = 64;
    return std::clamp(request.cost_tokens, min_cost_tokens, options_.quantum_tokens * max_rounds);
}

admission_refusal admission_queue::make_refusal(std::uint64_t id, std::string_view reason) const
{
    return {
        id,
        {result_code::overloaded,
         fmt::format("this instance's share of the pool, {} slots, is in use: {}", share_, reason)},
        retry_after()};
}

} // namespace jujubevalve
