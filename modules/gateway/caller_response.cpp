#include "gateway/caller_response.h"

#include "platform/call_codec.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <string>
#include <utility>

namespace jujubevalve
{

namespace
{
/// A caller with more unsent bytes of a stream than this is disconnected.
constexpr std::size_t max_unsent_bytes = 512 * 1024;

void append_chunk(std::string& out, std::string_view bytes)
{
    std::array<char, 20> size{};
    const auto n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    out.append(size.data(), static_cast<std::size_t>(n)).append(bytes).append("\r\n");
}

// The response to a HEAD request states the length of a body that is not sent.
std::optional<std::size_t> stated_length(const http_head& head)
{
    const auto text = head.headers.get("Content-Length");
    std::size_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size()
               ? std::optional{length}
               : std::nullopt;
}
} // namespace

std::string_view to_string(response_progress progress)
{
    switch (progress) {
    case response_progress::none:
        return "none";
    case response_progress::in_stream:
        return "in_stream";
    case response_progress::complete:
        return "complete";
    case response_progress::broken_off:
        break;
    }
    return "broken_off";
}

caller_response::caller_response(caller_connection& caller, const http_head& request)
    : caller_{caller}
    , request_{request}
{
}

int caller_response::send_whole(const http_head& from_server, std::string_view body)
{
    if (has_begun()) {
        return break_off();
    }
    const bool close = caller_.must_close() || !request_.http_1_1 || !request_.keep_alive;
    const auto length = is_head_request() ? stated_length(from_server) : std::optional{body.size()};
    auto out = encode_response_head(from_server, {length, close, false});
    if (!is_head_request()) {
        out.append(body);
    }
    send(out);
    finish(close);
    return from_server.status;
}

int caller_response::send_error(int status, std::string_view code, std::string_view message,
                                std::optional<time_ms> retry_after)
{
    if (has_begun()) {
        return break_off();
    }
    const bool close = caller_.must_close() || !request_.http_1_1 || !request_.keep_alive;
    const auto response = encode_error_response(status, code, message, retry_after, close);
    send(is_head_request() ? head_of(response) : std::string_view{response});
    finish(close);
    return status;
}

void caller_response::send(std::string_view bytes)
{
    sent_bytes_ += bytes.size();
    caller_.send(bytes);
}

void caller_response::begin_stream(const http_head& from_server)
{
    progress_ = response_progress::in_stream;
    stream_status_ = from_server.status;
    close_after_stream_ = caller_.must_close() || !request_.http_1_1 || !request_.keep_alive;
    unsent_ =
        encode_response_head(from_server, {std::nullopt, close_after_stream_, request_.http_1_1});
    if (!request_.http_1_1) {
        caller_.set_ends_with_close();
    }
}

void caller_response::add_event(const http_head& from_server, std::string_view event)
{
    if (is_ended()) {
        return;
    }
    if (!has_begun()) {
        begin_stream(from_server);
    }
    if (is_head_request()) {
        return;
    }
    if (request_.http_1_1) {
        append_chunk(unsent_, event);
    } else {
        unsent_.append(event);
    }
}

bool caller_response::flush_events()
{
    send(std::exchange(unsent_, {}));
    return caller_.unsent() <= max_unsent_bytes;
}

int caller_response::end_stream(const http_head& from_server)
{
    if (is_ended()) {
        return 0;
    }
    if (!has_begun()) {
        begin_stream(from_server);
    }
    if (request_.http_1_1 && !is_head_request()) {
        unsent_.append("0\r\n\r\n");
    }
    send(std::exchange(unsent_, {}));
    finish(close_after_stream_);
    return stream_status_;
}

int caller_response::break_off()
{
    if (!is_ended()) {
        progress_ = response_progress::broken_off;
        unsent_at_break_ = caller_.unsent();
        caller_.abort_response();
    }
    return 0;
}

void caller_response::finish(bool close)
{
    progress_ = response_progress::complete;
    closes_connection_ = close;
    caller_.finish(close);
}

} // namespace jujubevalve
