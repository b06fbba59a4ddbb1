#include "net/http_exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_response_head_bytes = 64 * 1024;
/// Max bytes of interim responses and of late responses to earlier requests before the response.
constexpr std::size_t max_skipped_bytes = 1024 * 1024;

time_ms keep_alive_timeout(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const auto position = value.find(key);
    if (position == std::string_view::npos) {
        return time_ms{0};
    }
    value.remove_prefix(position + key.size());
    std::int64_t timeout_s = 0;
    std::from_chars(value.data(), value.data() + value.size(), timeout_s);
    return seconds(timeout_s);
}
} // namespace

std::string_view to_string(exchange_failure failure)
{
    switch (failure) {
    case exchange_failure::not_connected:
        return "not_connected";
    case exchange_failure::no_response:
        return "no_response";
    case exchange_failure::broken_response:
        return "broken_response";
    case exchange_failure::malformed:
        return "malformed";
    case exchange_failure::too_long:
        break;
    }
    return "too_long";
}

http_exchange::http_exchange(event_loop& loop, const std::string& address, liveness_limits limits)
    : loop_{loop}
    , reader_{http_reader::kind::responses, max_response_head_bytes, *this}
    , stream_{loop, *this, address, limits}
    , idle_since_{loop.now()}
{
}

http_exchange::~http_exchange() = default;

bool http_exchange::is_reusable() const
{
    return reusable_ && listener_ == nullptr && stream_.is_open();
}

void http_exchange::send(std::string_view request, bool head_only, exchange_listener& listener)
{
    listener_ = &listener;
    response_accepted_ = false;
    skipped_bytes_ = 0;
    head_only_ = head_only;
    ++request_count_;
    reader_.next();
    if (head_only) {
        reader_.expect_no_body();
    }
    stream_.write(request);
}

bool http_exchange::has_carried(std::uint64_t key) const
{
    return std::find(request_keys_.begin(), request_keys_.end(), key) != request_keys_.end();
}

bool http_exchange::stop_sending(exchange_listener& listener)
{
    if (response_accepted_ || reader_.in_message() || !stream_.stop_sending()) {
        return false;
    }
    listener_ = &listener;
    reusable_ = false;
    return true;
}

void http_exchange::abandon()
{
    listener_ = nullptr;
    reusable_ = false;
    stream_.close();
}

void http_exchange::on_received(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (listener_ == nullptr) {
            // Bytes without a request in flight: nothing later on this connection can be trusted.
            abandon();
            return;
        }
        const auto consumed = reader_.feed(bytes);
        bytes.remove_prefix(consumed);
        if (!stream_.is_open()) {
            return;
        }
        skipped_bytes_ += response_accepted_ ? 0 : consumed;
        if (skipped_bytes_ > max_skipped_bytes) {
            fail(exchange_failure::too_long);
            return;
        }
        switch (reader_.state()) {
        case read_state::reading:
            break;
        case read_state::message_ended:
            if (response_accepted_) {
                reusable_ = reusable_ && bytes.empty();
                finish();
                return;
            }
            reader_.next();
            if (head_only_) {
                reader_.expect_no_body();
            }
            break;
        case read_state::head_too_large:
        case read_state::malformed:
            fail(exchange_failure::malformed);
            return;
        }
    }
}

void http_exchange::on_head(http_head head)
{
    if (listener_ == nullptr) {
        return;
    }
    response_accepted_ = listener_->on_response_head(head);
    if (response_accepted_) {
        reusable_ = head.keep_alive && !head.close_delimited;
        peer_idle_limit_ = keep_alive_timeout(head.headers.get("Keep-Alive"));
    }
}

void http_exchange::on_body(std::string_view bytes)
{
    if (response_accepted_ && listener_ != nullptr) {
        listener_->on_response_body(bytes);
    }
}

void http_exchange::on_message_end() {}

void http_exchange::finish()
{
    // A peer that responded early still expects the rest of the request.
    reusable_ = reusable_ && stream_.pending() == 0;
    idle_since_ = loop_.now();
    if (!reusable_) {
        stream_.close();
    }
    if (auto* const listener = std::exchange(listener_, nullptr)) {
        listener->on_response_end();
    }
}

void http_exchange::fail(exchange_failure reason)
{
    reusable_ = false;
    stream_.close();
    if (auto* const listener = std::exchange(listener_, nullptr)) {
        listener->on_exchange_failed(reason);
    }
}

void http_exchange::on_ended(stream_end how)
{
    reusable_ = false;
    closed_cleanly_ = how == stream_end::closed;
    if (listener_ == nullptr) {
        return;
    }
    if (how == stream_end::connect_failed) {
        fail(exchange_failure::not_connected);
        return;
    }
    if (how == stream_end::closed && response_accepted_ && reader_.in_message()) {
        reader_.feed_end();
        if (reader_.state() == read_state::message_ended) {
            finish();
            return;
        }
    }
    fail(response_accepted_ || reader_.in_message() ? exchange_failure::broken_response
                                                    : exchange_failure::no_response);
}

} // namespace jujubevalve
