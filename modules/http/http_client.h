#pragma once

#include "core/time_ms.h"
#include "http/http_message.h"

#include <memory>
#include <optional>

namespace jujubevalve
{

/// Why an exchange gave no response. `not_delivered` is certain: no byte of the request was sent.
/// It is only reported for new connections.
enum class http_error { not_delivered, answer_lost };

/// A response, or the reason why there is none.
struct http_reply {
    std::optional<http_error> error;
    int status{0};
    http_headers headers;
    std::string body;

    [[nodiscard]] bool ok() const { return !error && status >= 200 && status < 300; }
};

/// A request to a server that is named by an IP number.
struct http_call {
    std::string method{"GET"};
    std::string url; ///< http://ip:port/path?query
    http_headers headers;
    std::string body;
    time_ms connect_timeout{1000};
    time_ms timeout{5000}; ///< of the whole exchange

    /// If set, receives the body bytes of a 2xx response as they arrive; return false to stop.
    std::function<bool(std::string_view)> on_data;
    time_ms idle_timeout{0}; ///< with on_data: gives up after so long without a byte; 0 = never

    /// Sends the request at most once, on a new connection. Otherwise libcurl repeats a request by
    /// itself when a kept connection closes before the first byte of the answer.
    bool send_once{false};
};

/// Blocking HTTP client on libcurl that keeps connections open. Safe to use from any thread.
class http_client
{
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Performs one exchange. Never throws for network errors.
    [[nodiscard]] http_reply perform(const http_call& call);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
