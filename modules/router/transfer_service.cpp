#include "router/transfer_service.h"

#include <algorithm>
#include <map>
#include <set>

namespace jujubevalve
{

namespace
{
wire::transfer to_message(const transfer& item)
{
    wire::transfer message;
    message.sender = item.from;
    message.receiver = item.to;
    message.n = item.n;
    message.budget = item.budget;
    message.amount = item.amount;
    return message;
}

transfer to_transfer(const wire::transfer& message)
{
    return {message.sender, message.receiver, message.n, message.budget, message.amount};
}
} // namespace

transfer_service::transfer_service(budget_service& budgets, membership_service& members,
                                   http_platform& platform, peer_client& peers,
                                   time_ms peer_timeout, counters& counts)
    : budgets_{budgets}
    , members_{members}
    , platform_{platform}
    , peers_{peers}
    , timeout_{peer_timeout}
    , counts_{counts}
    , book_{budgets.with_grants([](grant_tracker& book) -> grant_tracker& { return book; })}
{
}

bool transfer_service::request(const std::string& budget, token_count tokens)
{
    const auto holder = members_.holder_of(budget);
    if (!holder || holder->incarnation == members_.own().incarnation) {
        return false;
    }
    wire::transfer_request request;
    request.receiver = members_.own().incarnation;
    request.budget = budget;
    request.amount = tokens;
    ++counts_.at("transfers_requested");
    const auto reply = peers_.call(holder->peer_address, request, timeout_);
    if (!reply || reply->offers.empty()) {
        return false;
    }
    bool credited = false;
    const auto ack = credit(reply->offers, credited);
    // If this acknowledgement is lost, the sender resends the transfer.
    wire::transfer_offer acknowledgement;
    acknowledgement.__set_ack(ack);
    peers_.call(holder->peer_address, acknowledgement, timeout_);
    return credited;
}

wire::transfer_ack transfer_service::credit(const std::vector<wire::transfer>& offers,
                                            bool& credited)
{
    wire::transfer_ack ack;
    ack.receiver = members_.own().incarnation;
    for (const auto& offer : offers) {
        const auto answer = budgets_.with_grants(
            [&](grant_tracker&) { return book_.receive(to_transfer(offer), clock_.now()); });
        if (!answer) {
            ack.code = static_cast<int>(answer.error().code);
            continue;
        }
        const bool was_credited = *answer == transfer_response::credited;
        credited = credited || was_credited;
        (was_credited ? ack.credited : ack.refused).push_back(offer.n);
    }
    if (credited) {
        ++counts_.at("transfers_received");
        budgets_.notify();
    }
    return ack;
}

wire::transfer_reply transfer_service::answer(const wire::transfer_request& request)
{
    wire::transfer_reply reply;
    const auto sent = budgets_.with_grants([&](grant_tracker& book) {
        // A partial transfer would not cover the request and would only reduce the sender's grant.
        const bool can_cover =
            request.amount > 0 && book.available(request.budget) >= request.amount;
        return can_cover ? book_.send(request.receiver, request.budget, request.amount)
                         : std::nullopt;
    });
    if (!sent) {
        reply.code = static_cast<int>(result_code::budget_exhausted);
        return reply;
    }
    ++counts_.at("transfers_sent");
    reply.offers.push_back(to_message(*sent));
    return reply;
}

wire::transfer_ack transfer_service::answer(const wire::transfer_offer& offer)
{
    if (offer.__isset.ack) {
        apply_ack(offer.ack);
    }
    bool credited = false;
    return credit(offer.offers, credited);
}

void transfer_service::apply_ack(const wire::transfer_ack& ack)
{
    budgets_.with_grants([&](grant_tracker&) {
        for (const auto n : ack.credited) {
            book_.acknowledge(ack.receiver, n);
        }
        for (const auto n : ack.refused) {
            book_.take_back(ack.receiver, n);
        }
    });
}

wire::received_reply transfer_service::answer(const wire::received_query& query)
{
    wire::received_reply reply;
    reply.receiver = members_.own().incarnation;
    for (const auto& gone : query.gone) {
        const auto totals =
            budgets_.with_grants([&](grant_tracker&) { return book_.totals_for_recovery(gone); });
        wire::peer_totals message;
        message.gone = gone;
        for (const auto& total : totals) {
            wire::transfer_total item;
            item.budget = total.budget;
            item.sent = total.sent;
            item.received = total.received;
            message.totals.push_back(item);
        }
        reply.totals.push_back(message);
    }
    return reply;
}

void transfer_service::resend_unacknowledged()
{
    std::map<std::string, std::vector<transfer>> by_receiver;
    for (const auto& item :
         budgets_.with_grants([&](grant_tracker&) { return book_.unacknowledged(); })) {
        by_receiver[item.to].push_back(item);
    }
    for (const auto& [receiver, transfers] : by_receiver) {
        if (!deliver(receiver, transfers)) {
            settle_with_closed_receiver(receiver, transfers);
        }
    }
}

bool transfer_service::deliver(const std::string& receiver, const std::vector<transfer>& transfers)
{
    const auto member = members_.find(receiver);
    if (!member) {
        return false;
    }
    wire::transfer_offer offer;
    std::transform(transfers.begin(), transfers.end(), std::back_inserter(offer.offers),
                   [](const transfer& item) { return to_message(item); });
    const auto ack = peers_.call(member->entry.peer_address, offer, timeout_);
    if (!ack || ack->receiver != receiver) {
        return false;
    }
    apply_ack(*ack);
    return true;
}

void transfer_service::settle_with_closed_receiver(const std::string& receiver,
                                                   const std::vector<transfer>& transfers)
{
    std::set<std::string> budgets;
    for (const auto& item : transfers) {
        budgets.insert(item.budget);
    }
    for (const auto& budget : budgets) {
        const auto rows = platform_.read({grant_key(budget, receiver)});
        const auto row = rows && !rows->empty() ? parse_grant_row(rows->front().value)
                                                : result<grant_row>{failure{}};
        if (!row || !row->closed) {
            continue;
        }
        const auto found = row->received.find(members_.own().incarnation);
        const auto total = found == row->received.end() ? 0 : found->second;
        budgets_.with_grants([&](grant_tracker&) { book_.settle_closed(receiver, budget, total); });
    }
}

void transfer_service::refuse_all()
{
    budgets_.with_grants([&](grant_tracker&) { book_.refuse_all(); });
}

bool transfer_service::all_acknowledged()
{
    return budgets_.with_grants([&](grant_tracker&) { return book_.all_acknowledged(); });
}

} // namespace jujubevalve
