#pragma once

#include "core/time_ms.h"
#include "peer/peer_options.h"
#include "peer/peer_result.h"
#include <peer_types.h>

#include <memory>
#include <string>

namespace jujubevalve
{

/// Calls other instances over one connection per peer address. Thread-safe; calls to the same peer
/// run concurrently. After a call has timed out on a connection, its other calls still wait for
/// their answers, but new calls open a new connection.
class peer_client
{
public:
    /// The counters must outlive the client.
    peer_client(const peer_options& options, counters& counts);

    /// Closes the connections. No call may be in progress.
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends a message to `address` (ip:port) and waits up to `timeout` for its answer. Fails with
    /// peer_term_mismatch, peer_unauthenticated, peer_unreachable or request_too_large.
    peer_result<wire::gossip> call(const std::string& address, const wire::gossip& request,
                                   time_ms timeout);
    peer_result<wire::config_reply> call(const std::string& address,
                                         const wire::config_request& request, time_ms timeout);
    peer_result<wire::forward_reply> call(const std::string& address,
                                          const wire::forward_request& request, time_ms timeout);
    peer_result<wire::transfer_reply> call(const std::string& address,
                                           const wire::transfer_request& request, time_ms timeout);
    peer_result<wire::transfer_ack> call(const std::string& address,
                                         const wire::transfer_offer& request, time_ms timeout);
    peer_result<wire::received_reply> call(const std::string& address,
                                           const wire::received_query& request, time_ms timeout);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
