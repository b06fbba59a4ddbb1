#pragma once

#include <peer_types.h>

#include <functional>
#include <string>

namespace jujubevalve
{

/// Sender of a message, from the hello of its connection.
struct peer_caller {
    std::string incarnation;
};

/// Handler functions of a server, one per message. They run concurrently in the server's worker
/// threads and may block. If a function is empty or throws, only the message's call fails; the
/// connection stays open.
struct peer_handler {
    template <class Request, class Reply>
    using function = std::function<Reply(const Request&, const peer_caller&)>;

    function<wire::gossip, wire::gossip> gossip;
    function<wire::config_request, wire::config_reply> config;
    function<wire::forward_request, wire::forward_reply> forward;
    function<wire::transfer_request, wire::transfer_reply> request_transfer;
    function<wire::transfer_offer, wire::transfer_ack> offer_transfer;
    function<wire::received_query, wire::received_reply> query_received;
};

} // namespace jujubevalve
