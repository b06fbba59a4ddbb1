#pragma once

#include <peer_types.h>

#include <functional>
#include <string>

namespace jujubevalve
{

/// Who sent a message, as stated in its connection's hello.
struct peer_caller {
    std::string incarnation;
};

/// What a server does with each message. Functions run in the server's worker threads, may run at
/// the same time and may block. A message without a function, or whose function throws, closes the
/// connection.
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
