#include "routing/admission_queue.h"

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Smallest cost of a request, so that a round of turns admits a bounded number of requests.
constexpr token_count min_cost = 64;
} // namespace

admission_queue::admission_queue(admission_options options)
    : options_{options}
{
    // A quantum of 0 would never let a request pass.
    options_.quantum_tokens = std::max(options_.quantum_tokens, min_cost);
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
        change.refused.push_back(refusal(request.id, "its deadline has passed"));
        return change;
    }
    if (waiting_.size() >= options_.max_waiting) {
        make_room(change, request);
        if (waiting_.size() >= options_.max_waiting) {
            return change;
        }
    }
    push(std::move(request));
    return change;
}

admission_change admission_queue::release(std::uint64_t id, time_ms now)
{
    admission_change change;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return change;
    }
    // Weight of one run in the moving average; about the last ten runs count.
    constexpr double weight = 0.1;
    const auto ran = static_cast<double>((now - found->second).count());
    mean_run_ms_ += weight * (ran - mean_run_ms_);
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
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
        const auto id = by_deadline_.begin()->second;
        remove(id);
        change.refused.push_back(refusal(id, "no slot was free before its deadline"));
    }
    return change;
}

time_ms admission_queue::retry_after() const
{
    const auto runs = static_cast<double>(waiting_.size() + 1) / static_cast<double>(share_);
    const auto estimate = static_cast<std::int64_t>(runs * mean_run_ms_);
    return std::clamp(time_ms{estimate}, seconds(1), options_.max_retry_after);
}

void admission_queue::admit(admission_change& change, time_ms now)
{
    while (running_.size() < share_ && !waiting_.empty()) {
        const auto id = next_in_turn();
        remove(id);
        running_.emplace(id, now);
        change.admitted.push_back(id);
    }
}

std::uint64_t admission_queue::next_in_turn()
{
    for (;;) {
        auto& account = accounts_.at(turns_.front());
        const auto id = account.requests.begin()->second;
        const auto wanted = cost(waiting_.at(id).request);
        if (account.deficit >= wanted) {
            account.deficit -= wanted;
            return id;
        }
        account.deficit += options_.quantum_tokens;
        turns_.splice(turns_.end(), turns_, turns_.begin());
    }
}

void admission_queue::push(admission_request request)
{
    const queue_key key{-request.priority, ++arrivals_};
    auto& account = accounts_[request.account];
    if (account.requests.empty()) {
        account.turn = turns_.insert(turns_.end(), request.account);
    }
    by_length_.erase({account.requests.size(), request.account});
    account.requests.emplace(key, request.id);
    by_length_.emplace(account.requests.size(), request.account);
    by_deadline_.emplace(request.deadline, request.id);
    const auto id = request.id;
    waiting_.emplace(id, waiting_request{std::move(request), key});
}

admission_request admission_queue::remove(std::uint64_t id)
{
    const auto found = waiting_.find(id);
    auto request = std::move(found->second.request);
    const auto entry = accounts_.find(request.account);
    auto& account = entry->second;
    by_length_.erase({account.requests.size(), request.account});
    account.requests.erase(found->second.key);
    by_deadline_.erase({request.deadline, id});
    waiting_.erase(found);
    if (account.requests.empty()) {
        // An account without waiting requests keeps no deficit, as in the published algorithm.
        turns_.erase(account.turn);
        accounts_.erase(entry);
    } else {
        by_length_.emplace(account.requests.size(), request.account);
    }
    return request;
}

void admission_queue::make_room(admission_change& change, const admission_request& request)
{
    const auto& [longest, name] = *by_length_.rbegin();
    const auto own = accounts_.find(request.account);
    const auto own_length = own == accounts_.end() ? 0 : own->second.requests.size();
    if (own_length + 1 >= longest) {
        change.refused.push_back(refusal(request.id, "the queue is full"));
        return;
    }
    const auto newest = std::prev(accounts_.at(name).requests.end())->second;
    change.refused.push_back(
        refusal(newest, "the queue is full and the account has the most waiting requests"));
    remove(newest);
}

token_count admission_queue::cost(const admission_request& request) const
{
    // At most this many rounds of turns pass before a request is admitted, whatever its cost.
    constexpr token_count max_rounds = 64;
    return std::clamp(request.cost_tokens, min_cost, options_.quantum_tokens * max_rounds);
}

admission_refusal admission_queue::refusal(std::uint64_t id, std::string_view why) const
{
    return {
        id,
        {result_code::overloaded,
         fmt::format("this instance's share of the pool, {} slots, is in use: {}", share_, why)},
        retry_after()};
}

} // namespace jujubevalve
