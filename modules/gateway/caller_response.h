#pragma once

#include "gateway/call_context.h"
#include "net/http_head.h"

#include <optional>
#include <string_view>

namespace jujubevalve
{

/// How far a response has got.
enum class response_progress {
    none,       ///< nothing was sent
    in_stream,  ///< the head and some events of a stream were sent
    complete,   ///< the whole response was sent
    broken_off, ///< ended so that the caller can tell that it is incomplete
};

std::string_view to_string(response_progress progress);

/// The response to one request of a caller, and the only way to send it. Knows what the caller has
/// received so far: a response has one head, and one that is cut short never looks complete.
class caller_response
{
public:
    /// `request` must outlive this object.
    caller_response(caller_connection& caller, const http_head& request);

    /// Whether the head of a stream has been sent, so that only its events may follow.
    [[nodiscard]] bool has_begun() const { return progress_ != response_progress::none; }

    [[nodiscard]] response_progress progress() const { return progress_; }
    /// Bytes of the response that were handed to the caller's connection.
    [[nodiscard]] std::size_t sent_bytes() const { return sent_bytes_; }
    /// Bytes of those that the connection had not sent when it was broken off, or has not now.
    [[nodiscard]] std::size_t unsent_bytes() const
    {
        return progress_ == response_progress::broken_off ? unsent_at_break_ : caller_.unsent();
    }
    /// Whether the complete response announced that the connection closes.
    [[nodiscard]] bool closes_connection() const { return closes_connection_; }

    /// Sends a complete response of a server, or the router's own error. A stream that has begun is
    /// broken off instead. Returns the status that the caller has received; 0 if broken off.
    int send_whole(const http_head& from_server, std::string_view body);
    int send_error(int status, std::string_view code, std::string_view message,
                   std::optional<time_ms> retry_after);

    /// Sends an event of a stream, after the head if it is the first. Later heads are ignored.
    void add_event(const http_head& from_server, std::string_view event);

    /// Sends what add_event() has collected. Returns false if the caller does not keep up.
    [[nodiscard]] bool flush_events();

    /// Ends a stream after its last event. Returns the status that the caller has received.
    int end_stream(const http_head& from_server);

    /// Ends the response so that the caller can tell that it is incomplete. Returns 0, the status
    /// of a response that was not completed.
    int break_off();

private:
    void send(std::string_view bytes);
    void begin_stream(const http_head& from_server);
    void finish(bool close);
    [[nodiscard]] bool is_ended() const
    {
        return progress_ == response_progress::complete ||
               progress_ == response_progress::broken_off;
    }
    [[nodiscard]] bool is_head_request() const { return request_.method == "HEAD"; }

    caller_connection& caller_;
    const http_head& request_;
    response_progress progress_{response_progress::none};
    std::size_t sent_bytes_{0};
    std::size_t unsent_at_break_{0};
    bool closes_connection_{false};
    int stream_status_{0};
    bool close_after_stream_{false};
    std::string unsent_;
};

} // namespace jujubevalve
