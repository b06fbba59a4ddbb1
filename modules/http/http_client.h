#pragma once

#include "core/limited_buffer.h"
#include "core/time_ms.h"
#include "http/http_message.h"

#include <memory>
#include <optional>

namespace jujubevalve
{

/// Why a request got no response. `not_delivered` guarantees that no byte of the request was sent;
/// it is only reported for new connections. In every other case the server may have received it.
/// `answer_too_long`: the response exceeded a limit of the call.
enum class http_error { not_delivered, answer_lost, answer_too_long };

/// A response, or the error if there is none.
struct http_reply {
    std::optional<http_error> error;
    int status{0};
    http_headers headers;
    std::string body;

    [[nodiscard]] bool ok() const { return !error && status >= 200 && status < 300; }
};

/// A request to a server at a numeric IP address.
struct http_call {
    std::string method{"GET"};
    std::string url; ///< http://ip:port/path?query
    http_headers headers;
    std::string body;
    time_ms connect_timeout{1000};
    time_ms timeout{5000}; ///< from connecting to the last byte of the response

    /// If set, receives the body of a 2xx response as it arrives. Return false to abort.
    std::function<bool(std::string_view)> on_data;
    time_ms idle_timeout{0}; ///< max time without a received byte; 0 = unlimited

    /// Max size of a response's body, also of a streamed one that is not successful. A server in
    /// trouble may send bytes without end.
    std::size_t max_body_bytes{8 * 1024 * 1024};

    /// If set, memory for the body that several requests share; must outlive them.
    buffer_memory* memory{nullptr};

    /// Sends the request at most once, on a new connection. Otherwise libcurl repeats a request by
    /// itself when a reused connection closes before the first byte of the response.
    bool send_once{false};
};

/// Blocking, thread-safe HTTP client on libcurl with persistent connections.
class http_client
{
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends the request and waits for the response. Network errors are returned, never thrown.
    [[nodiscard]] http_reply perform(const http_call& call);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
