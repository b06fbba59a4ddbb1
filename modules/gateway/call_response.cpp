// The part of class call that handles backend servers' responses and relays them to the caller.
#include "gateway/call.h"
#include "platform/call_codec.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Max failed connection attempts before the request is refused.
constexpr int max_connect_failures = 4;
/// Time without an event, in multiples of the route's event gap, after which a resumable stream is
/// continued at another server.
constexpr int stall_timeout_in_gaps = 6;
/// Max size of an event of a stream. A server that sends more without the end of an event is not
/// sending a stream.
constexpr std::size_t max_event_bytes = 64 * 1024;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

// These have no body, whatever their header fields say.
bool may_have_body(int status)
{
    return status != 204 && status != 205 && status != 304;
}

std::optional<std::int64_t> event_number(std::string_view id)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    return parsed.ec == std::errc{} && parsed.ptr == id.data() + id.size() && !id.empty()
               ? std::optional{number}
               : std::nullopt;
}
} // namespace

bool call::on_response_head(const http_head& head)
{
    auto response = decode_response(head);
    for (const auto& header : response.unreadable) {
        context_.unreadable.record(header.name, server_id_, header.value, context_.loop.now());
    }
    if (response.request_id && *response.request_id != request_.id) {
        context_.metrics.count("answers_to_other_requests");
        context_.log.write("stray_answer",
                           log_fields{}
                               .add("id", request_.id)
                               .add("server", server_id_)
                               .add("status", head.status),
                           context_.loop.now());
        return false;
    }
    if (!response.request_id) {
        context_.metrics.count("answers_without_id");
        context_.log.write("unidentified_answer",
                           log_fields{}
                               .add("id", request_.id)
                               .add("server", server_id_)
                               .add("status", head.status)
                               .add("reused", static_cast<int>(connection_->is_reused())),
                           context_.loop.now());
        if (connection_->is_reused()) {
            // Earlier responses on this connection had ids, so this may be a late copy of one.
            connection_->abandon();
            on_exchange_failed(exchange_failure::malformed);
            return false;
        }
    }
    response_ = std::move(response);
    response_head_ = head;
    context_.view.servers().note_received(server_id_, context_.loop.now());
    if (response_.load) {
        context_.view.servers().reported(server_id_, *response_.load, context_.loop.now());
        if (const auto* const server = context_.view.servers().find(server_id_)) {
            context_.choice.note_report(*server);
        }
    }
    record_rate_limit();
    record_leaving();
    in_stream_ = is_success(response_.status) && may_have_body(response_.status) &&
                 response_.is_event_stream && response_.is_signed && !response_.encoded;
    if (in_stream_) {
        state_ = run_state::ran;
        context_.loop.cancel(std::exchange(attempt_timer_, 0));
        last_event_at_ = context_.loop.now();
        watch_stream();
    }
    return true;
}

// Only a server's own answer without a limit shows that it names none any more.
void call::record_rate_limit()
{
    const auto* const server = context_.view.servers().find(server_id_);
    if (server != nullptr && (response_.rate_limit || response_.is_signed)) {
        context_.notices.record_limit(server->entry, response_.rate_limit, sent_at_);
    }
}

// A misdirected request was answered by another server, which speaks for itself.
void call::record_leaving()
{
    constexpr int misdirected = 421;
    if (!response_.is_leaving || response_.status == misdirected) {
        return;
    }
    const auto now = context_.loop.now();
    if (context_.view.servers().note_leaving(server_id_, server_incarnation_, now)) {
        context_.metrics.count("servers_leaving_by_answer");
        context_.log.write("server_leaving",
                           log_fields{}
                               .add("server", server_id_)
                               .add("incarnation", server_incarnation_)
                               .add("id", request_.id),
                           now);
    }
}

void call::on_response_body(std::string_view bytes)
{
    context_.view.servers().note_received(server_id_, context_.loop.now());
    if (in_stream_) {
        event_splitter_.add(bytes);
        relay_events();
        return;
    }
    if (!response_body_.append(bytes)) {
        connection_->abandon();
        on_exchange_failed(exchange_failure::too_long);
    }
}

std::string_view call::find_gap(const stream_event& event) const
{
    if (event.has_response_head) {
        return "another response inside the stream";
    }
    const auto number = event_number(event.id);
    const auto last = last_event_ ? event_number(*last_event_) : std::nullopt;
    if (number && last && *number > *last + 1) {
        return "events are missing";
    }
    // Without a number it may be one that the caller has received from the server before.
    return continues_stream_ && !number && !event.is_comment
               ? "an event of a resumed stream has no number"
               : "";
}

void call::relay_events()
{
    bool has_new_events = false;
    std::string_view broken; // why the rest of the stream cannot be used; empty if it can
    while (const auto event = event_splitter_.next()) {
        const auto number = event_number(event->id);
        const auto last = last_event_ ? event_number(*last_event_) : std::nullopt;
        if (number && last && *number <= *last) {
            continue; // the caller already has this event
        }
        broken = find_gap(*event);
        if (!broken.empty()) {
            break;
        }
        if (!to_caller_.has_begun()) {
            context_.metrics.observe("first_event", context_.loop.now() - received_at_);
            context_.view.servers().prompt_read(server_id_,
                                                std::exchange(unread_prompt_tokens_, 0));
        }
        to_caller_.add_event(response_head_, event->bytes);
        has_new_events = true;
        ++events_sent_;
        answer_began_at_ = answer_began_at_.value_or(context_.loop.now());
        is_numbered_ = is_numbered_ && (number || event->is_comment);
        if (!event->id.empty()) {
            last_event_ = std::string{event->id};
        }
    }
    if (is_answer_under_way()) {
        record_sound_answer();
    }
    if (has_new_events) {
        last_event_at_ = context_.loop.now();
        if (!to_caller_.flush_events()) {
            end_attempt(server_verdict::neutral);
            end("caller too slow", to_caller_.break_off());
            return;
        }
    }
    if (broken.empty() && event_splitter_.partial_bytes() > max_event_bytes) {
        broken = "an event is too long";
    }
    if (!broken.empty()) {
        stream_broken(broken);
    }
}

void call::watch_stream()
{
    if (!route_->resumable || route_->event_gap.count() == 0) {
        return;
    }
    const auto stall_timeout = route_->event_gap * stall_timeout_in_gaps;
    attempt_timer_ = context_.loop.schedule(
        last_event_at_ + stall_timeout - context_.loop.now(), [this, stall_timeout] {
            attempt_timer_ = 0;
            if (context_.loop.now() - last_event_at_ >= stall_timeout) {
                stream_stalled();
            } else {
                watch_stream();
            }
        });
}

void call::stream_stalled()
{
    if (!context_.view.servers().is_silent_since(server_id_, last_event_at_) || !may_retry(true)) {
        last_event_at_ = context_.loop.now();
        watch_stream();
        return;
    }
    end_attempt(server_verdict::unreachable);
    dispatch();
}

void call::on_response_end()
{
    if (in_stream_) {
        end_stream();
        return;
    }
    if (response_.proves_not_run()) {
        handle_refusal(response_.status);
    } else if (response_.encoded || (is_success(response_.status) && !response_.is_signed)) {
        handle_invalid_response("not the server's own answer");
    } else if (to_caller_.has_begun()) {
        handle_invalid_response("the server has not continued the stream");
    } else {
        handle_response();
    }
}

void call::handle_refusal(int status)
{
    end_attempt(status == 421 ? server_verdict::misdirected : server_verdict::refused);
    if (state_ == run_state::sent) {
        state_ = run_state::not_run;
    }
    if (may_retry(false)) {
        dispatch();
        return;
    }
    if (state_ == run_state::not_run) {
        refuse(result_code::overloaded, 503, "the backend servers are full",
               retry_after(refusal_cause::servers_full));
    } else {
        fail_call("refused after an earlier attempt");
    }
}

void call::handle_response()
{
    const auto status = response_.status;
    if (status >= 500 || states_not_run(status)) {
        if (may_retry(true)) {
            end_attempt(server_verdict::bad_answer);
            state_ = run_state::ran;
            dispatch();
            return;
        }
        end_attempt(server_verdict::bad_answer);
        state_ = run_state::ran;
        if (states_not_run(status)) {
            fail_call("the server's status would promise that the request has not run");
            return;
        }
    } else {
        answer_began_at_ = context_.loop.now();
        record_sound_answer();
        context_.view.servers().add_latency(server_id_, context_.loop.now() - sent_at_);
        end_attempt(server_verdict::good);
        state_ = run_state::ran;
    }
    end("answered", to_caller_.send_whole(response_head_, response_body_.bytes()));
}

void call::handle_invalid_response(std::string_view reason)
{
    end_attempt(server_verdict::bad_answer);
    state_ = run_state::ran;
    if (may_retry(true)) {
        dispatch();
    } else {
        fail_call(reason);
    }
}

void call::end_stream()
{
    if (event_splitter_.partial_bytes() > 0) {
        report_lost_connection();
        stream_broken("the stream ends inside an event");
        return;
    }
    record_sound_answer();
    end_attempt(server_verdict::good);
    stream_complete_ = true;
    end("answered", to_caller_.end_stream(response_head_));
}

void call::stream_broken(std::string_view reason)
{
    connection_->abandon();
    end_attempt(server_verdict::unreachable);
    event_splitter_.clear();
    if (may_retry(true)) {
        context_.log.write("stream_resumed",
                           log_fields{}
                               .add("id", request_.id)
                               .add("after", last_event_.value_or(""))
                               .add("why", reason),
                           context_.loop.now());
        dispatch();
        return;
    }
    fail_call(reason);
}

void call::on_exchange_failed(exchange_failure failure)
{
    context_.log.write("attempt_failed",
                       log_fields{}
                           .add("id", request_.id)
                           .add("server", server_id_)
                           .add("failure", to_string(failure))
                           .add("request", to_hex(identity_))
                           .add("after_ms", context_.loop.now() - sent_at_)
                           .add("reused", static_cast<int>(connection_->is_reused())),
                       context_.loop.now());
    // A connection that is lost on a congested link says nothing about the server.
    const bool is_congested = is_link_congested();
    if (!is_congested && (failure == exchange_failure::no_response ||
                          failure == exchange_failure::broken_response)) {
        report_lost_connection();
    }
    if (in_stream_) {
        stream_broken(to_string(failure));
        return;
    }
    end_attempt(is_congested ? server_verdict::neutral : server_verdict::unreachable);
    if (failure == exchange_failure::not_connected) {
        if (state_ == run_state::sent) {
            state_ = run_state::not_run;
        }
        --attempts_;
        if (++connect_failures_ < max_connect_failures && time_left() > min_attempt_time) {
            dispatch();
            return;
        }
        if (state_ == run_state::not_run) {
            refuse(result_code::no_backend_server, 503, "no backend server can be reached",
                   retry_after(refusal_cause::no_server));
            return;
        }
        fail_call("no further server can be reached");
        return;
    }
    state_ = run_state::ran;
    if (may_retry(true)) {
        dispatch();
    } else {
        fail_call(to_string(failure));
    }
}

} // namespace jujubevalve
