#pragma once

#include "peer/peer.h"
#include "router/budget_service.h"
#include "router/membership_service.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// Transfers unspent tokens between instances when a grant is exhausted and the platform is
/// unreachable or has no free tokens. Thread-safe: transfer and grant state is accessed only under
/// the lock of the budget service.
class transfer_service
{
public:
    transfer_service(budget_service& budgets, membership_service& members, http_platform& platform,
                     peer_client& peers, time_ms peer_timeout, counters& counts);

    /// Requests tokens from the instance that holds the most of the budget according to gossip.
    /// Returns whether any were credited.
    bool request(const std::string& budget, token_count tokens);

    /// Resends unacknowledged transfers, and settles those whose receiver's grant is closed.
    void resend_unacknowledged();

    /// Refuses all further transfers. Call before the grants are closed.
    void refuse_all();
    [[nodiscard]] bool all_acknowledged();

    wire::transfer_reply answer(const wire::transfer_request& request);
    wire::transfer_ack answer(const wire::transfer_offer& offer);
    wire::received_reply answer(const wire::received_query& query);

private:
    void apply_ack(const wire::transfer_ack& ack);
    bool deliver(const std::string& receiver, const std::vector<transfer>& transfers);
    void settle_with_closed_receiver(const std::string& receiver,
                                     const std::vector<transfer>& transfers);
    wire::transfer_ack credit(const std::vector<wire::transfer>& offers, bool& credited);

    budget_service& budgets_;
    membership_service& members_;
    http_platform& platform_;
    peer_client& peers_;
    time_ms timeout_;
    counters& counts_;
    steady_clock_ms clock_;
    transfer_tracker book_;
};

} // namespace jujubevalve
