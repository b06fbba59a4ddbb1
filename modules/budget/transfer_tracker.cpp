#include "budget/transfer_tracker.h"

#include <utility>

namespace jujubevalve
{

transfer_tracker::transfer_tracker(grant_tracker& book)
    : book_{book}
{
}

std::optional<transfer> transfer_tracker::send(std::string_view to, std::string_view budget,
                                               token_count amount)
{
    if (refuse_all_ || refused_peers_.contains(to) || to == book_.incarnation()) {
        return std::nullopt;
    }
    if (!book_.debit_transfer(budget, to, amount)) {
        return std::nullopt;
    }
    const auto n = ++last_numbers_.try_emplace(std::string{to}, 0).first->second;
    transfer message{book_.incarnation(), std::string{to}, n, std::string{budget}, amount};
    pending_.emplace(std::pair{std::string{to}, n}, message);
    return message;
}

std::vector<transfer> transfer_tracker::unacknowledged() const
{
    std::vector<transfer> messages;
    messages.reserve(pending_.size());
    for (const auto& [key, message] : pending_) {
        messages.push_back(message);
    }
    return messages;
}

void transfer_tracker::acknowledge(std::string_view to, std::int64_t n)
{
    const auto found = pending_.find(std::pair{std::string{to}, n});
    if (found == pending_.end()) {
        return;
    }
    book_.confirm_sent(found->second.budget, to, found->second.amount);
    pending_.erase(found);
}

void transfer_tracker::take_back(std::string_view to, std::int64_t n)
{
    refused_peers_.insert(std::string{to});
    const auto found = pending_.find(std::pair{std::string{to}, n});
    if (found == pending_.end()) {
        return;
    }
    book_.undo_transfer(found->second.budget, to, found->second.amount);
    pending_.erase(found);
}

result<transfer_response> transfer_tracker::receive(const transfer& message, time_ms now)
{
    if (message.to != book_.incarnation() || message.n < 1 || message.amount < 1 ||
        message.amount > max_token_count || message.budget.empty()) {
        return failure{result_code::invalid_field, "transfer: receiver, number or amount is wrong"};
    }
    auto& numbers = credited_[message.from];
    if (message.n <= numbers.contiguous_up_to || numbers.out_of_order.contains(message.n)) {
        return transfer_response::credited;
    }
    if (refuse_all_ || refused_peers_.contains(message.from)) {
        return transfer_response::refused;
    }
    book_.credit_transfer(message.budget, message.from, message.amount, now);
    numbers.out_of_order.insert(message.n);
    while (numbers.out_of_order.erase(numbers.contiguous_up_to + 1) > 0) {
        ++numbers.contiguous_up_to;
    }
    return transfer_response::credited;
}

std::vector<transfer_totals> transfer_tracker::totals_for_recovery(std::string_view terminated)
{
    refused_peers_.insert(std::string{terminated});
    std::vector<transfer_totals> totals;
    for (const auto& budget : book_.budgets()) {
        const auto sent = book_.sent(budget);
        const auto received = book_.received(budget);
        const auto to = sent.find(terminated);
        const auto from = received.find(terminated);
        const transfer_totals exchanged{budget, to == sent.end() ? 0 : to->second,
                                        from == received.end() ? 0 : from->second};
        if (exchanged.sent == 0 && exchanged.received == 0) {
            continue;
        }
        totals.push_back(exchanged);
        // The recovery counts all sent tokens as received, so none may become available here again.
        if (exchanged.sent > 0) {
            book_.resolve_sent(budget, terminated, exchanged.sent);
        }
    }
    std::erase_if(pending_,
                  [terminated](const auto& entry) { return entry.first.first == terminated; });
    return totals;
}

void transfer_tracker::settle_closed(std::string_view to, std::string_view budget,
                                     token_count total)
{
    refused_peers_.insert(std::string{to});
    book_.resolve_sent(budget, to, total);
    std::erase_if(pending_, [to, budget](const auto& entry) {
        return entry.first.first == to && entry.second.budget == budget;
    });
}

} // namespace jujubevalve
