#pragma once

#include "peer/peer_handler.h"
#include "peer/peer_options.h"

#include <memory>
#include <string>

namespace jujubevalve
{

/// Answers messages from other instances. One reactor thread accepts, reads and writes; handlers
/// run in worker threads. The address is bound exclusively: no other process can listen on it
/// during the lifetime of this object.
class peer_server
{
public:
    /// Binds and starts serving. Throws std::runtime_error naming the address if it is in use.
    /// The counters must outlive the server.
    peer_server(const peer_options& options, peer_handler handler, counters& counts);

    /// Closes the connections, waits for running handlers and releases the address last.
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Returns the bound address as ip:port.
    [[nodiscard]] std::string address() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
