#pragma once

#include "core/time_ms.h"
#include "net/event_loop.h"
#include "net/http_head.h"
#include "net/http_reader.h"
#include "net/tcp_stream.h"

#include <memory>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Why an exchange brought no complete response.
enum class exchange_failure {
    not_connected,   ///< the connection was never established: nothing was delivered
    no_response,     ///< ended before the first byte of a response
    broken_response, ///< ended inside a response
    malformed,       ///< bytes that are not a response
};

/// Name of a failure for logs.
std::string_view to_string(exchange_failure failure);

/// Receives the response to one request. After on_response_end() and on_exchange_failed() no
/// further call is made.
class exchange_listener
{
public:
    exchange_listener() = default;
    exchange_listener(const exchange_listener&) = delete;
    exchange_listener& operator=(const exchange_listener&) = delete;
    virtual ~exchange_listener() = default;

    /// Returns false if the response answers another request: it is then read and dropped, and
    /// the next response is offered.
    virtual bool on_response_head(const http_head& head) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    virtual void on_response_end() = 0;
    virtual void on_exchange_failed(exchange_failure failure) = 0;
};

/// A client connection that carries one request at a time. Destroying it inside a call to its
/// listener must be deferred.
class http_exchange final : private stream_listener, private http_reader_listener
{
public:
    http_exchange(event_loop& loop, const std::string& address, silence_limits limits);
    ~http_exchange() override;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    /// Sends a complete request. Only while is_reusable().
    void send(std::string_view request, bool head_only, exchange_listener& listener);

    /// Closes the sending side of the connection; what still comes goes to the new listener. Fails
    /// without effect unless the request has been sent in full and no response has begun.
    bool stop_sending(exchange_listener& listener);

    /// Whether the peer has closed the connection in order, not with a reset.
    [[nodiscard]] bool closed_in_order() const { return closed_in_order_; }

    /// Forgets the listener and closes the connection.
    void abandon();

    /// Open, without a request, and able to take one.
    [[nodiscard]] bool is_reusable() const;

    /// Whether it has carried a request before.
    [[nodiscard]] bool was_used() const { return uses_ > 1; }

    /// Whether the connection has been established.
    [[nodiscard]] bool is_connected() const { return stream_.is_connected(); }

    /// When the last response ended, or when it was made.
    [[nodiscard]] time_ms idle_since() const { return idle_since_; }

    /// How long the peer keeps it open while idle; 0 if it did not say.
    [[nodiscard]] time_ms peer_idle_limit() const { return idle_limit_; }

private:
    void on_received(std::string_view bytes) override;
    void on_ended(stream_end how) override;
    void on_head(http_head head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;
    void fail(exchange_failure why);
    void finish();

    event_loop& loop_;
    http_reader reader_;
    exchange_listener* listener_{nullptr};
    tcp_stream stream_;
    bool accepted_{false};
    bool reusable_{true};
    bool head_only_{false};
    bool closed_in_order_{false};
    int uses_{0};
    time_ms idle_since_;
    time_ms idle_limit_{};
};

} // namespace jujubevalve
