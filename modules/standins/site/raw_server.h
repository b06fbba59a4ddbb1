#pragma once

#include "core/time_ms.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jujubevalve::site
{

/// A request as a raw_server received it.
struct raw_request {
    std::string id;
    std::string expected_server;
    std::string account;
    std::size_t number{0}; ///< on its connection, from 1
    std::string last_event;
    std::string usage; ///< tokens of a generation request; empty for others
};

/// The connection of a raw_server on which a request arrived.
class raw_connection
{
public:
    explicit raw_connection(int descriptor)
        : descriptor_{descriptor}
    {
    }

    /// Sends bytes. Returns false if the peer no longer takes them.
    bool send(std::string_view bytes) const;

    /// Ends the connection in order, or with a reset.
    void close() const;
    void reset() const;

    /// Waits until the peer has closed or reset the connection. Returns false on timeout.
    [[nodiscard]] bool wait_closed(time_ms limit) const;

private:
    int descriptor_;
};

/// When a raw_server answers a request.
enum class answer_time {
    after_request,
    after_head ///< reads no body, and ends the connection after the answer
};

/// A server that answers with whatever bytes its handler sends, for faults that an HTTP library
/// prevents. Runs the handler on a thread for each connection.
class raw_server
{
public:
    using handler = std::function<void(const raw_connection& connection, const raw_request&)>;

    /// Listens on a free loopback port. Throws std::system_error on failure.
    explicit raw_server(handler on_request, answer_time when = answer_time::after_request);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] const std::string& address() const;
    [[nodiscard]] int requests() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// How a peer ended a connection, if it has.
enum class peer_end { none, closed, reset };

/// What a raw_caller received up to the end of its connection.
struct received_bytes {
    std::string bytes;
    peer_end end{peer_end::none};
};

/// A connection of a caller that sends its bytes as the test says.
class raw_caller
{
public:
    /// Throws std::system_error if it cannot connect.
    /// `window_bytes`: of the receive buffer; 0 for the system's.
    explicit raw_caller(const std::string& address, int window_bytes = 0);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(std::string_view bytes) const;
    /// Receives until `text` has arrived or the peer closes; returns all bytes received by it.
    std::string receive_until(std::string_view text, time_ms limit) const;
    /// Receives until the peer ends the connection, for at most `limit`; at most at a rate of
    /// `bytes_per_s`, if that is not 0.
    received_bytes receive_all(time_ms limit, std::size_t bytes_per_s = 0) const;

    void close();
    void reset();
    void stop_sending() const;

private:
    int descriptor_;
};

} // namespace jujubevalve::site
