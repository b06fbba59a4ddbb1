#pragma once

#include "core/time_ms.h"
#include "http/http_message.h"

#include <cstdint>
#include <memory>

namespace jujubevalve
{

/// Address and limits of an http_server.
struct http_server_options {
    std::string address{"127.0.0.1:0"}; ///< ip:port; port 0 selects a free port
    std::size_t max_body_bytes{4 * 1024 * 1024};
    time_ms idle_timeout{30'000}; ///< max time without traffic on a connection
    unsigned max_connections{2000};
};

/// HTTP/1.1 server on libmicrohttpd with one thread per connection.
class http_server
{
public:
    using handler = std::function<http_response(const http_request&)>;

    /// Starts listening. The handler is called on connection threads and may block.
    /// Throws std::runtime_error with the address on failure.
    http_server(const http_server_options& options, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Returns the listening address as ip:port, with the actual port.
    [[nodiscard]] std::string address() const;

    /// Returns the number of requests whose head has arrived and that have no response yet.
    [[nodiscard]] std::int64_t unanswered() const;

    /// Stops accepting connections; open ones continue.
    void stop_listening();

    /// Closes all connections and waits until their handlers have returned.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
