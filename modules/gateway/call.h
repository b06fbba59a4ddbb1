#pragma once

#include "dispatch/call_request.h"
#include "dispatch/fleet_config.h"
#include "gateway/call_context.h"
#include "gateway/event_splitter.h"
#include "net/http_exchange.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// One request of a caller, from its arrival to its answer: authorises it, sets its tokens aside,
/// sends it to a server, sends it again where that is allowed, and passes the answer on. A
/// refusal that says "not run" is only given while no server can have run it.
class call final : private exchange_listener
{
public:
    call(call_context& context, caller_connection& caller, http_head head, std::string body);
    ~call() override;
    call(const call&) = delete;
    call& operator=(const call&) = delete;

    /// Begins. The answer goes to the caller, possibly before this returns.
    void start();

    /// The caller has closed its connection.
    void caller_left();

    [[nodiscard]] bool is_ended() const { return ended_; }

private:
    /// Least time that must be left for another attempt.
    static constexpr time_ms min_attempt_time{30};

    /// What is known about whether a server has run the request.
    enum class run_state {
        not_run, ///< no server has it, or each that had it stated that it did not run it
        sent,    ///< handed to a server that has not answered
        ran,     ///< a server ran it or may have run it
    };

    bool on_response_head(const http_head& head) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_end() override;
    void on_exchange_failed(exchange_failure failure) override;

    [[nodiscard]] bool authorise();
    void reserve_tokens();
    void dispatch();
    void send_to(server_state& server);
    void connect_timed_out();
    void watch_response();
    void response_timed_out();
    void stream_stalled();
    void watch_stream();
    void deadline_passed();

    void handle_refusal(int status);
    void handle_response();
    void handle_invalid_response(std::string_view reason);
    void forward_response();
    void relay_events();
    void end_stream();
    void stream_broken(std::string_view reason);

    [[nodiscard]] bool may_retry(bool may_have_run);
    void end_attempt(server_verdict verdict);
    void release_connection();
    void refuse(result_code code, int status, std::string_view message,
                std::optional<time_ms> retry_after = std::nullopt);
    void fail_call(std::string_view reason);
    void end(std::string_view outcome, int status);
    void settle();
    /// Tokens that the request has used as far as known, and what its server may have sent besides.
    [[nodiscard]] token_count used_tokens() const;
    [[nodiscard]] time_ms time_left() const;
    [[nodiscard]] time_ms retry_delay();
    [[nodiscard]] time_ms other_instance_retry_delay();
    [[nodiscard]] bool may_run_again() const { return route_ != nullptr && route_->may_rerun(); }

    call_context& context_;
    caller_connection& caller_;
    http_head head_;
    std::string body_;
    time_ms received_at_;
    time_ms deadline_;
    call_request request_;
    fleet_config_ptr config_; ///< the version that the call is handled by
    const call_route* route_{nullptr};
    std::string account_;
    std::optional<int> priority_;
    std::string service_;
    reservation_id reservation_{0};
    token_count charged_tokens_{0}; ///< tokens taken from the prepaid budget
    std::uint64_t grant_wait_id_{0};

    run_state state_{run_state::not_run};
    int attempts_{0}; ///< servers that the request was sent to
    int connect_failures_{0};
    std::vector<std::string> tried_servers_;
    std::string server_id_; ///< of the present attempt; empty if there is none
    std::string server_address_;
    token_count unread_prompt_tokens_{0};
    time_ms sent_at_{};
    std::unique_ptr<http_exchange> connection_;
    timer_id deadline_timer_{0};
    timer_id attempt_timer_{0};

    server_response response_;
    http_head response_head_;
    std::string response_body_;
    bool in_stream_{false};            ///< the present attempt answers with events
    bool head_forwarded_{false};       ///< the caller has the head of a stream
    bool stream_complete_{false};      ///< the caller has all events of a stream
    bool close_after_response_{false}; ///< the caller was told that the connection ends
    event_splitter event_splitter_;
    std::optional<std::string> last_event_; ///< id of the last event that the caller was sent
    std::int64_t events_sent_{0};
    time_ms last_event_at_{};
    bool ended_{false};
};

} // namespace jujubevalve
