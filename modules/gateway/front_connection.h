#pragma once

#include "gateway/call.h"
#include "gateway/call_context.h"
#include "net/http_reader.h"
#include "net/tcp_stream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jujubevalve
{

/// Handles requests that this instance answers itself. Returns a complete response, or nothing if
/// the request must be forwarded to a backend server.
using local_handler = std::function<std::optional<std::string>(const http_head&, bool close)>;

/// An incoming HTTP connection. Handles one request at a time; pipelined input is buffered until
/// the current request has ended.
class front_connection final : private stream_listener,
                               private http_reader_listener,
                               private caller_connection
{
public:
    /// `admission` decides about requests on this connection after the first; null: no limit.
    /// `on_closed` is called once, deferred, when the connection can be destroyed.
    front_connection(call_context& context, int descriptor, local_handler handler,
                     std::function<bool()> close_after_response, entry_admission* admission,
                     std::function<void()> on_closed);
    ~front_connection() override;
    front_connection(const front_connection&) = delete;
    front_connection& operator=(const front_connection&) = delete;

    /// Returns whether no request is in progress or waits to be read, and no answer to be sent.
    [[nodiscard]] bool is_idle() const { return awaits_request() && unsent() == 0; }

    /// Closes the connection if no request is in progress or waits to be read.
    void close_if_idle();

    /// Ends the request in progress because the process ends, with an answer if none has begun.
    void process_ends();

private:
    void on_received(std::string_view bytes) override;
    void on_drained() override;
    void on_ended(stream_end how) override;
    void on_head(http_head head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;

    void send(std::string_view bytes) override;
    [[nodiscard]] bool has_left() const override;
    [[nodiscard]] std::size_t unsent() const override;
    [[nodiscard]] bool must_close() const override;
    void set_ends_with_close() override;
    void finish(bool close) override;
    void abort_response() override;

    void parse();
    void handle_request();
    void reject(int status, result_code code, std::string_view message,
                std::optional<time_ms> retry_after = std::nullopt);
    /// Admits the request whose head has been read, or refuses it. Returns whether it was admitted.
    bool admit();
    void delete_ended_call();
    void await_request();
    void await_head();
    [[nodiscard]] bool awaits_request() const;
    /// Closes the connection, gently once the answer has been sent.
    void close_connection(bool gently);
    void next_request();
    void watch_drain();
    void release(bool gently);
    [[nodiscard]] const caller_limits& limits() const;

    call_context& context_;
    local_handler local_handler_;
    std::function<bool()> close_after_response_;
    entry_admission* admission_;
    std::function<void()> on_closed_;
    http_reader reader_;
    std::unique_ptr<tcp_stream> stream_;
    std::string input_;
    http_head head_;
    limited_buffer body_;
    bool is_head_request_{false}; ///< the request being read or answered is a HEAD request
    bool request_complete_{false};
    bool has_had_request_{false};
    bool rejected_{false};
    bool parsing_{false};
    bool ends_with_close_{false};
    std::unique_ptr<call> call_;
    timer_id timer_{0};
    bool closed_{false};
    bool draining_{false};     ///< closed but for the rest of an answer
    bool awaits_drain_{false}; ///< reads the next request once the answer has been sent
};

} // namespace jujubevalve
