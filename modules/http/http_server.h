#pragma once

#include "core/time_ms.h"
#include "http/http_message.h"

#include <memory>

namespace jujubevalve
{

/// Limits of an http_server.
struct http_server_options {
    std::string address{"127.0.0.1:0"}; ///< ip:port; port 0 takes a free one
    std::size_t max_body_bytes{4 * 1024 * 1024};
    time_ms idle_timeout{30'000}; ///< a connection that moves no byte for so long is closed
    unsigned max_connections{2000};
};

/// HTTP/1.1 server with one thread a connection, on libmicrohttpd.
class http_server
{
public:
    using handler = std::function<http_response(const http_request&)>;

    /// Starts to listen. The handler is called from connection threads and may block.
    /// Throws std::runtime_error with the address if it cannot listen.
    http_server(const http_server_options& options, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The address it listens on, with the real port.
    [[nodiscard]] std::string address() const;

    /// Takes no new connections; open ones go on.
    void stop_listening();

    /// Closes all connections and waits for their handlers.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
