#pragma once

#include "core/limited_buffer.h"
#include "dispatch/call_request.h"
#include "dispatch/fleet_config.h"
#include "dispatch/request_identity.h"
#include "gateway/call_context.h"
#include "gateway/caller_response.h"
#include "gateway/event_splitter.h"
#include "net/http_exchange.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// One request of a caller, from arrival to response: authorises it, reserves its tokens, sends it
/// to a backend server, retries where the route allows it, and relays the response. It is refused
/// with a status that means "not run" only while no server can have run it.
class call final : private exchange_listener
{
public:
    /// `body` must outlive this object.
    call(call_context& context, caller_connection& caller, http_head head, std::string_view body);
    ~call() override;
    call(const call&) = delete;
    call& operator=(const call&) = delete;

    /// Starts processing. The response may be sent to the caller before this returns.
    void start();

    /// Ends the call because the caller has closed its connection.
    void caller_left();

    /// Ends the call because the process ends. The caller learns whether the request has run, or
    /// that this is not known; a stream that has begun is broken off.
    void process_ends();

    [[nodiscard]] bool is_ended() const { return ended_; }

private:
    /// Min time left before the deadline to start another attempt.
    static constexpr time_ms min_attempt_time{30};

    /// What is known about whether a server has run the request.
    enum class run_state {
        not_run, ///< no server received it, or each that did reported it as not run
        sent,    ///< sent to a server that has not responded
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
    /// Whether this instance's own link explains that a server cannot be reached.
    [[nodiscard]] bool is_link_congested();
    void refuse_congested();
    void watch_response();
    void response_timed_out();
    void stream_stalled();
    void watch_stream();
    void deadline_passed();
    /// Time that the call may take from now on if it is sent.
    [[nodiscard]] time_ms expected_duration() const;
    /// Whether no server can have received the request.
    [[nodiscard]] bool is_unsent() const;

    void handle_refusal(int status);
    void handle_response();
    void handle_invalid_response(std::string_view reason);
    void relay_events();
    /// Returns why an event cannot follow those that the caller has; empty if it can.
    [[nodiscard]] std::string_view find_gap(const stream_event& event) const;
    void end_stream();
    void stream_broken(std::string_view reason);

    [[nodiscard]] bool may_retry(bool may_have_run);
    void end_attempt(server_verdict verdict);
    /// Refuses the call if it, or its prompt, crashes servers. Returns whether it did.
    bool refuse_quarantined(const prompt_admission& admission);
    /// Records that the answer of the current attempt has got under way.
    void record_sound_answer();
    /// Records the rate limit that the response names.
    void record_rate_limit();
    /// Records that the server leaves, if the response says so.
    void record_leaving();
    [[nodiscard]] bool is_answer_under_way() const;
    /// Reports that the connection of the current attempt broke.
    void report_lost_connection();
    void release_connection();
    void refuse(result_code code, int status, std::string_view message,
                std::optional<time_ms> retry_after = std::nullopt);
    /// Answers that the outcome is unknown, or breaks off a stream that has begun.
    void fail_call(std::string_view reason);
    void end(std::string_view outcome, int status);
    void settle();
    /// Tokens of the prompt and of the delivered output, plus an allowance for output that the
    /// server may have sent without it reaching the caller.
    [[nodiscard]] token_count used_tokens() const;
    [[nodiscard]] time_ms time_left() const;
    [[nodiscard]] time_ms retry_after(refusal_cause cause,
                                      std::optional<time_ms> room_expected_in = std::nullopt);
    /// Whether a server can go on where the stream that the caller has received ends.
    [[nodiscard]] bool can_continue_stream() const
    {
        return !to_caller_.has_begun() || (is_numbered_ && last_event_);
    }
    [[nodiscard]] bool may_run_again() const { return route_ != nullptr && route_->may_rerun(); }

    call_context& context_;
    caller_connection& caller_;
    http_head head_;
    caller_response to_caller_;
    std::string_view body_;
    time_ms received_at_;
    time_ms deadline_;
    call_request request_;
    fleet_config_ptr config_; ///< configuration version that applies to the whole call
    const call_route* route_{nullptr};
    std::string account_;
    std::optional<int> priority_;
    std::string service_;
    reservation_id reservation_{0};
    token_count charged_tokens_{0}; ///< tokens taken from the prepaid budget
    std::uint64_t grant_wait_id_{0};

    run_state state_{run_state::not_run};
    int attempts_{0}; ///< attempts that reached a server
    int connect_failures_{0};
    std::vector<std::string> tried_servers_;
    std::string server_id_; ///< server of the current attempt; empty if there is none
    std::string server_address_;
    std::int64_t server_incarnation_{0};
    std::uint64_t identity_{0};   ///< see request_identity
    shared_prompt shared_prompt_; ///< empty before the call is authorised
    token_count unread_prompt_tokens_{0};
    time_ms sent_at_{};
    std::unique_ptr<http_exchange> connection_;
    timer_id deadline_timer_{0};
    timer_id attempt_timer_{0};

    server_response response_;
    http_head response_head_;
    limited_buffer response_body_;
    bool in_stream_{false};        ///< the current attempt's response is an event stream
    bool continues_stream_{false}; ///< the current attempt goes on where an earlier one ended
    bool stream_complete_{false};  ///< all events of the stream were sent to the caller
    event_splitter event_splitter_;
    std::optional<std::string> last_event_; ///< id of the last event sent to the caller
    bool is_numbered_{true};                ///< all events sent to the caller have numbers
    std::int64_t events_sent_{0};
    time_ms last_event_at_{};
    std::optional<time_ms> answer_began_at_; ///< first event of the current attempt
    bool sound_answer_recorded_{false};
    bool ended_{false};
};

} // namespace jujubevalve
