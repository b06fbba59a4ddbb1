#include "gateway/front_connection.h"

#include "platform/call_codec.h"

#include <limits>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Input bytes buffered behind the current request. Beyond this, reading stops until the request
/// has ended, so that TCP flow control slows the caller down.
constexpr std::size_t max_buffered_input_bytes = 64 * 1024;
/// Max time for a body to arrive after its head.
constexpr time_ms body_timeout{15'000};
} // namespace

front_connection::front_connection(call_context& context, int descriptor, local_handler handler,
                                   std::function<bool()> close_after_response,
                                   entry_admission* admission, std::function<void()> on_closed)
    : context_{context}
    , local_handler_{std::move(handler)}
    , close_after_response_{std::move(close_after_response)}
    , admission_{admission}
    , on_closed_{std::move(on_closed)}
    , reader_{http_reader::kind::requests, limits().max_head_bytes, *this}
    , stream_{std::make_unique<tcp_stream>(context.loop, static_cast<stream_listener&>(*this),
                                           descriptor, liveness_limits{})}
    , body_{context.request_memory, std::numeric_limits<std::size_t>::max()}
{
    await_request();
}

front_connection::~front_connection()
{
    context_.loop.cancel(timer_);
}

const caller_limits& front_connection::limits() const
{
    static const caller_limits defaults;
    const auto& config = context_.view.config();
    return config ? config->limits() : defaults;
}

bool front_connection::must_close() const
{
    return close_after_response_();
}

void front_connection::await_request()
{
    context_.loop.cancel(timer_);
    timer_ = context_.loop.schedule(limits().idle_timeout, [this] {
        timer_ = 0;
        close_connection(true);
    });
}

bool front_connection::awaits_request() const
{
    return !call_ && !reader_.in_message() && input_.empty() && !(stream_ && stream_->has_input());
}

void front_connection::close_if_idle()
{
    if (awaits_request()) {
        close_connection(true);
    }
}

void front_connection::process_ends()
{
    if (closed_) {
        return;
    }
    if (call_) {
        call_->process_ends();
    } else if (reader_.in_message()) {
        reject(503, result_code::draining, "this instance has ended before the request was read");
    }
}

void front_connection::on_received(std::string_view bytes)
{
    if (closed_) {
        return;
    }
    input_.append(bytes);
    if (call_) {
        if (input_.size() > max_buffered_input_bytes) {
            stream_->set_reading(false);
        }
        return;
    }
    parse();
}

void front_connection::parse()
{
    if (parsing_) {
        return;
    }
    parsing_ = true;
    while (!closed_ && !call_ && !awaits_drain_ && !input_.empty()) {
        if (!reader_.in_message()) {
            input_.erase(0, input_.find_first_not_of("\r\n")); // may follow a request
            if (input_.empty()) {
                break;
            }
            is_head_request_ = false;
            await_head(); // before feed(), which may read the head and start the body's time
        }
        const auto consumed = reader_.feed(input_);
        input_.erase(0, consumed);
        if (rejected_ || closed_) {
            break;
        }
        if (reader_.state() == read_state::head_too_large) {
            reject(431, result_code::request_too_large, "the header fields are too large");
            break;
        }
        if (reader_.state() == read_state::malformed) {
            reject(400, result_code::invalid_field, "the request is malformed");
            break;
        }
        if (std::exchange(request_complete_, false)) {
            handle_request();
        }
    }
    parsing_ = false;
}

void front_connection::await_head()
{
    context_.loop.cancel(timer_);
    timer_ = context_.loop.schedule(limits().head_timeout, [this] {
        timer_ = 0;
        reject(408, result_code::request_timeout, "the request did not arrive in time");
    });
}

void front_connection::on_head(http_head head)
{
    head_ = std::move(head);
    is_head_request_ = head_.method == "HEAD";
    body_.clear();
    if (!admit()) {
        return;
    }
    context_.loop.cancel(timer_);
    timer_ = context_.loop.schedule(body_timeout, [this] {
        timer_ = 0;
        reject(408, result_code::request_timeout, "the request's body did not arrive in time");
    });
    if (head_.http_1_1 && same_header_name(head_.headers.get("Expect"), "100-continue")) {
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

bool front_connection::admit()
{
    if (!std::exchange(has_had_request_, true) || admission_ == nullptr) {
        return true; // admitted with its connection
    }
    const auto now = context_.loop.now();
    if (!admission_->is_overrun(now)) {
        admission_->admitted(now);
        return true;
    }
    context_.metrics.count("entry_refusals");
    // Its next request comes on a connection that has to be accepted first.
    reject(503, result_code::overloaded, "this instance has no room for the request",
           context_.retry_advice.retry_after(
               {refusal_cause::instance_overloaded, admission_->room_expected_in(now)}));
    return false;
}

void front_connection::on_body(std::string_view bytes)
{
    if (rejected_) {
        return;
    }
    if (body_.bytes().size() + bytes.size() > limits().max_body_bytes) {
        reject(413, result_code::request_too_large, "the body is too large");
    } else if (!body_.append(bytes)) {
        reject(503, result_code::overloaded, "too many large requests are in progress");
    }
}

void front_connection::on_message_end()
{
    request_complete_ = true;
}

void front_connection::handle_request()
{
    context_.loop.cancel(std::exchange(timer_, 0));
    if (head_.target.empty() || head_.target.front() != '/') {
        reject(400, result_code::invalid_field, "the target is not a path");
        return;
    }
    const bool close = must_close() || !head_.keep_alive;
    if (const auto response = local_handler_(head_, close)) {
        stream_->write(is_head_request_ ? head_of(*response) : std::string_view{*response});
        body_.clear();
        finish(close);
        return;
    }
    call_ = std::make_unique<call>(context_, static_cast<caller_connection&>(*this),
                                   std::move(head_), body_.bytes());
    call_->start();
}

void front_connection::delete_ended_call()
{
    if (!call_ || !call_->is_ended()) {
        return;
    }
    body_.clear(); // an idle connection takes no memory from the requests of others
    auto* const ended = call_.release();
    context_.loop.defer([ended] { delete ended; }); // NOLINT(cppcoreguidelines-owning-memory)
}

void front_connection::reject(int status, result_code code, std::string_view message,
                              std::optional<time_ms> retry_after)
{
    if (std::exchange(rejected_, true) || closed_) {
        return;
    }
    context_.log.write(
        "rejected",
        log_fields{}.add("status", status).add("code", static_cast<int>(code)).add("why", message),
        context_.loop.now());
    const auto response =
        encode_error_response(status, describe(code).name, message, retry_after, true);
    stream_->write(is_head_request_ ? head_of(response) : std::string_view{response});
    close_connection(true);
}

void front_connection::finish(bool close)
{
    if (closed_) {
        return;
    }
    if (close) {
        close_connection(true);
        return;
    }
    reader_.next();
    awaits_drain_ = unsent() > 0;
    // The call is still on the stack, so it is deleted and the next request parsed afterwards.
    context_.loop.defer([this] {
        delete_ended_call();
        next_request();
    });
}

// A caller that does not read its answers gets no further ones.
void front_connection::next_request()
{
    if (closed_ || call_ || reader_.in_message()) {
        return;
    }
    awaits_drain_ = unsent() > 0;
    if (awaits_drain_) {
        stream_->set_reading(false);
        watch_drain();
        return;
    }
    stream_->set_reading(true);
    await_request();
    parse();
}

void front_connection::send(std::string_view bytes)
{
    if (stream_) {
        stream_->write(bytes);
    }
}

bool front_connection::has_left() const
{
    return !stream_ || stream_->has_peer_closed();
}

std::size_t front_connection::unsent() const
{
    return stream_ ? stream_->pending() : 0;
}

// close_lingering() closes in order once all bytes are sent.
void front_connection::set_ends_with_close()
{
    ends_with_close_ = true;
    if (stream_) {
        stream_->set_reset_on_close(true);
    }
}

void front_connection::abort_response()
{
    if (ends_with_close_ && stream_) {
        stream_->reset();
    }
    if (!std::exchange(closed_, true)) {
        release(true);
    }
}

void front_connection::on_drained()
{
    if (draining_) {
        release(true);
    } else if (std::exchange(awaits_drain_, false)) {
        context_.loop.defer([this] { next_request(); });
    }
}

void front_connection::on_ended(stream_end /*how*/)
{
    if (call_) {
        call_->caller_left();
    }
    if (draining_) {
        release(false);
    }
    close_connection(false);
}

void front_connection::close_connection(bool gently)
{
    if (std::exchange(closed_, true)) {
        return;
    }
    if (gently && unsent() > 0) {
        draining_ = true;
        watch_drain();
        context_.loop.defer([this] { delete_ended_call(); });
    } else {
        release(gently);
    }
}

// A caller may take long to receive an answer, but not without receiving any of it.
void front_connection::watch_drain()
{
    context_.loop.cancel(timer_);
    timer_ = context_.loop.schedule(limits().idle_timeout, [this, before = unsent()] {
        timer_ = 0;
        if (unsent() < before) {
            watch_drain();
        } else {
            closed_ = true;
            release(true);
        }
    });
}

void front_connection::release(bool gently)
{
    if (draining_ && unsent() > 0) {
        context_.metrics.count("responses_cut");
        context_.log.write("response_cut", log_fields{}.add("unsent_bytes", unsent()),
                           context_.loop.now());
    }
    draining_ = false;
    context_.loop.cancel(std::exchange(timer_, 0));
    if (gently) {
        tcp_stream::close_lingering(std::move(stream_));
    }
    context_.loop.defer([this] {
        delete_ended_call();
        on_closed_();
    });
}

} // namespace jujubevalve
