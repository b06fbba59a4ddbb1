#include "peer/client_link.h"

#include "core/clock.h"
#include "peer/message_codec.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujubevalve
{

namespace
{
constexpr std::size_t read_buffer_bytes = 65536;
constexpr std::int32_t protocol_version = 1;

ACE_Time_Value time_until(time_ms deadline)
{
    const auto remaining_ms =
        std::max<std::int64_t>(0, (deadline - steady_clock_ms{}.now()).count());
    ACE_Time_Value value;
    value.set_msec(static_cast<ACE_UINT64>(remaining_ms));
    return value;
}

failure unreachable(std::string_view what)
{
    return {result_code::peer_unreachable, std::string{what}};
}
} // namespace

client_link::client_link(const peer_options& options, counters& counts, traffic_counts& traffic,
                         reactor_loop& loop)
    : options_{options}
    , counts_{counts}
    , traffic_{traffic}
    , loop_{loop}
    , codec_{options.secret, frame_side::client, options.max_frame_bytes}
{
}

client_link::~client_link()
{
    stream_.close();
}

status client_link::open(const std::string& address, time_ms deadline)
{
    ACE_SOCK_Connector connector;
    const auto timeout = time_until(deadline);
    if (connector.connect(stream_, ACE_INET_Addr{address.c_str()}, &timeout) != 0) {
        return unreachable(fmt::format("cannot connect to peer {}", address));
    }
    int on = 1;
    stream_.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    stream_.enable(ACE_NONBLOCK);
    auto hello_status = exchange_hello(deadline);
    if (!hello_status) {
        return failure{hello_status.error().code,
                       fmt::format("peer {}: {}", address, hello_status.error().message)};
    }
    usable_ = true;
    loop_.post([self = shared_from_this()] {
        self->registered_ = self;
        auto& reactor = self->loop_.event_reactor();
        if (reactor.register_handler(self.get(), ACE_Event_Handler::READ_MASK) != 0) {
            self->close_in_reactor();
        }
    });
    return success();
}

status client_link::exchange_hello(time_ms deadline)
{
    wire::hello hello;
    hello.protocol = protocol_version;
    hello.term = options_.term;
    hello.incarnation = options_.incarnation;
    const auto bytes = codec_.seal(encode(hello));
    if (!bytes || !write(*bytes, deadline)) {
        return unreachable("the hello could not be sent");
    }
    traffic_.sent({}, bytes->size());
    const auto payload = receive_hello(deadline);
    if (!payload) {
        return payload.error();
    }
    const auto reply = decode<wire::hello_reply>(*payload);
    if (reply.term != options_.term || reply.code != 0) {
        ++counts_.at("peer_term_mismatches");
        return failure{result_code::peer_term_mismatch,
                       fmt::format("its term is {}, this one's is {}", reply.term, options_.term)};
    }
    return success();
}

result<std::string> client_link::receive_hello(time_ms deadline)
{
    std::array<char, 1024> bytes{};
    for (;;) {
        const auto timeout = time_until(deadline);
        const auto count = stream_.recv(bytes.data(), bytes.size(), &timeout);
        if (count <= 0) {
            return unreachable(count == 0 ? "closed the connection during the hello; a wrong fleet "
                                            "secret is one possible reason"
                                          : "no answer to the hello");
        }
        codec_.feed({bytes.data(), static_cast<std::size_t>(count)});
        const auto frame = codec_.open();
        if (!frame) {
            ++counts_.at("peer_mac_failures");
            return frame.error();
        }
        if (frame->has_value()) {
            const auto& payload = **frame;
            traffic_.received({}, payload.size() + frame_codec::overhead_bytes +
                                      frame_codec::nonce_bytes);
            return payload;
        }
    }
}

std::future<client_link::answer> client_link::register_call(std::int32_t call_id)
{
    const std::lock_guard lock{mutex_};
    std::promise<answer> promise;
    auto future = promise.get_future();
    if (closed_) {
        promise.set_value(std::nullopt);
    } else {
        pending_.emplace(call_id, std::move(promise));
    }
    return future;
}

status client_link::send(const char* message, std::string_view payload, time_ms deadline)
{
    const auto remaining_ms =
        std::max<std::int64_t>(0, (deadline - steady_clock_ms{}.now()).count());
    const std::unique_lock lock{send_mutex_, std::chrono::milliseconds{remaining_ms}};
    if (!lock.owns_lock()) {
        return unreachable("other calls occupy the connection");
    }
    const auto bytes = codec_.seal(payload);
    if (!bytes) {
        return bytes.error();
    }
    if (!write(*bytes, deadline)) {
        // The peer cannot verify the MAC of an incomplete frame, so it does not act on it.
        close();
        return unreachable("the connection takes no data");
    }
    traffic_.sent(message, bytes->size());
    return success();
}

bool client_link::write(std::string_view bytes, time_ms deadline)
{
    const auto timeout = time_until(deadline);
    return stream_.send_n(bytes.data(), bytes.size(), MSG_NOSIGNAL, &timeout) ==
           static_cast<ssize_t>(bytes.size());
}

void client_link::abandon_call(std::int32_t call_id)
{
    usable_ = false;
    bool no_calls_left = false;
    {
        const std::lock_guard lock{mutex_};
        pending_.erase(call_id);
        no_calls_left = pending_.empty();
    }
    if (no_calls_left) {
        close();
    }
}

void client_link::close()
{
    usable_ = false;
    loop_.post([self = shared_from_this()] { self->close_in_reactor(); });
}

void client_link::close_in_reactor()
{
    loop_.event_reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                                   ACE_Event_Handler::DONT_CALL);
    handle_close(get_handle(), ACE_Event_Handler::ALL_EVENTS_MASK);
}

int client_link::handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/)
{
    usable_ = false;
    std::map<std::int32_t, std::promise<answer>> unanswered;
    {
        const std::lock_guard lock{mutex_};
        closed_ = true;
        unanswered.swap(pending_);
    }
    loop_.event_reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                                   ACE_Event_Handler::DONT_CALL);
    reactor(nullptr);
    // Shuts down only the write side, which notifies the peer at once. The handle stays open
    // because another thread may still be sending on it.
    stream_.close_writer();
    for (auto& [id, promise] : unanswered) {
        promise.set_value(std::nullopt);
    }
    // The reactor may still use this object until this callback returns.
    if (registered_) {
        loop_.post([keep = std::move(registered_)] {});
        registered_.reset();
    }
    return 0;
}

int client_link::handle_input(ACE_HANDLE /*handle*/)
{
    std::array<char, read_buffer_bytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto count = stream_.recv(bytes.data(), bytes.size());
    if (count < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
        return 0;
    }
    if (count <= 0) {
        return -1;
    }
    codec_.feed({bytes.data(), static_cast<std::size_t>(count)});
    return process_frames() ? 0 : -1;
}

bool client_link::process_frames()
{
    for (;;) {
        auto frame = codec_.open();
        if (!frame) {
            const bool too_large = frame.error().code == result_code::request_too_large;
            ++counts_.at(too_large ? "peer_oversized_frames" : "peer_mac_failures");
            return false;
        }
        if (!frame->has_value()) {
            return true;
        }
        try {
            deliver(std::move(*std::move(frame).value()));
        } catch (const apache::thrift::TException&) {
            ++counts_.at("peer_malformed_frames");
            return false;
        }
    }
}

void client_link::deliver(std::string payload)
{
    const message_reader reader{payload};
    traffic_.received(reader.name(), payload.size() + frame_codec::overhead_bytes);
    bool finished = false;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(reader.call_id());
        if (found == pending_.end()) {
            ++counts_.at("peer_late_answers");
        } else {
            found->second.set_value(std::move(payload));
            pending_.erase(found);
        }
        finished = !usable_ && pending_.empty();
    }
    if (finished) {
        close();
    }
}

} // namespace jujubevalve
