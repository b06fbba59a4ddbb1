#pragma once

#include "peer/peer_handler.h"
#include "peer/peer_options.h"

#include <memory>
#include <string>

namespace jujubevalve
{

/// Answers messages of other instances. One reactor thread accepts, reads and writes; handlers run
/// in worker threads. The address is bound from construction to destruction, exclusively: while
/// the object exists no other process can listen on it.
class peer_server
{
public:
    /// Binds and starts to answer. Throws std::runtime_error naming the address if it is in use.
    /// The counters must outlive the server.
    peer_server(const peer_options& options, peer_handler handler, counters& counts);

    /// Closes the connections, waits for running handlers and releases the address last.
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// The bound address as ip:port.
    [[nodiscard]] std::string address() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
