#include "peer/server_connection.h"

#include "peer/message_codec.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujubevalve
{

namespace
{
constexpr std::size_t read_buffer_bytes = 65536;
constexpr std::int32_t protocol_version = 1;
} // namespace

server_connection::server_connection(const context& server, const ACE_SOCK_Stream& stream)
    : server_{server}
    , stream_{stream}
    , codec_{server.options.secret, frame_side::server, server.options.max_frame_bytes}
    , last_frame_{steady_clock_ms{}.now()}
{
    int on = 1;
    stream_.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    stream_.enable(ACE_NONBLOCK);
}

server_connection::~server_connection()
{
    stream_.close();
}

bool server_connection::start()
{
    return server_.loop.event_reactor().register_handler(this, ACE_Event_Handler::READ_MASK) == 0;
}

void server_connection::close()
{
    if (!closed_) {
        server_.loop.event_reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK);
    }
}

void server_connection::close_if_idle(time_ms now)
{
    const auto limit =
        hello_received_ ? server_.options.idle_timeout : server_.options.hello_timeout;
    if (last_frame_ + limit < now) {
        close();
    }
}

int server_connection::handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/)
{
    if (closed_) {
        return 0;
    }
    closed_ = true;
    // The reactor may still use this object until this callback returns, so a posted task keeps it
    // alive until then.
    const auto handle = stream_.get_handle();
    server_.loop.event_reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                                          ACE_Event_Handler::DONT_CALL);
    reactor(nullptr);
    server_.loop.post([keep = shared_from_this()] {});
    server_.on_closed(handle);
    return 0;
}

int server_connection::handle_input(ACE_HANDLE /*handle*/)
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

bool server_connection::process_frames()
{
    while (!hello_refused_) {
        const auto frame = codec_.open();
        if (!frame) {
            const bool too_large = frame.error().code == result_code::request_too_large;
            ++server_.counts.at(too_large ? "peer_oversized_frames" : "peer_mac_failures");
            return false;
        }
        if (!frame->has_value()) {
            return true;
        }
        last_frame_ = steady_clock_ms{}.now();
        try {
            if (!process_frame(**frame)) {
                return false;
            }
        } catch (const apache::thrift::TException&) {
            ++server_.counts.at("peer_malformed_frames");
            return false;
        }
    }
    return true;
}

bool server_connection::process_frame(const std::string& payload)
{
    if (!hello_received_) {
        return process_hello(payload);
    }
    if (server_.dispatch(shared_from_this(), payload)) {
        return true;
    }
    ++server_.counts.at("peer_queue_full");
    return false;
}

bool server_connection::process_hello(const std::string& payload)
{
    server_.traffic.received({}, payload.size() + frame_codec::overhead_bytes +
                                     frame_codec::nonce_bytes);
    const auto hello = decode<wire::hello>(payload);
    caller_.incarnation = hello.incarnation;
    hello_received_ = true;
    wire::hello_reply reply;
    reply.term = server_.options.term;
    reply.incarnation = server_.options.incarnation;
    if (hello.term != server_.options.term || hello.protocol != protocol_version) {
        ++server_.counts.at("peer_term_mismatches");
        reply.code = static_cast<std::int32_t>(result_code::peer_term_mismatch);
        hello_refused_ = true;
    }
    send({}, encode(reply));
    return !closed_;
}

void server_connection::send(std::string_view message, std::string_view payload)
{
    if (closed_) {
        return;
    }
    const auto bytes = codec_.seal(payload);
    if (!bytes) {
        ++server_.counts.at("peer_oversized_frames");
        close();
        return;
    }
    server_.traffic.sent(message, bytes->size());
    const bool was_empty = send_buffer_.empty();
    send_buffer_ += *bytes;
    // Limits the memory of a peer that does not read its answers to a few frames.
    if (send_buffer_.size() > 4 * server_.options.max_frame_bytes || (was_empty && !flush())) {
        close();
        return;
    }
    if (was_empty && !send_buffer_.empty()) {
        server_.loop.event_reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    }
}

int server_connection::handle_output(ACE_HANDLE /*handle*/)
{
    if (!flush()) {
        return -1;
    }
    if (send_buffer_.empty()) {
        server_.loop.event_reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    }
    return 0;
}

// Sends as much as the socket accepts; returns false if the connection must be closed.
bool server_connection::flush()
{
    while (!send_buffer_.empty()) {
        const auto count = stream_.send(send_buffer_.data(), send_buffer_.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return errno == EWOULDBLOCK;
        }
        send_buffer_.erase(0, static_cast<std::size_t>(count));
    }
    return !hello_refused_;
}

} // namespace jujubevalve
