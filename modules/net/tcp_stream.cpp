#include "net/tcp_stream.h"

#include "net/socket_address.h"

#include <ace/OS_NS_sys_socket.h>
#include <ace/OS_NS_unistd.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t receive_buffer_bytes = 32 * 1024;
constexpr time_ms lingering_close_timeout{1000}; ///< max wait for the peer to close its side

void set_int_option(int descriptor, int level, int option, int value)
{
    ACE_OS::setsockopt(descriptor, level, option, reinterpret_cast<const char*>(&value),
                       sizeof value);
}
} // namespace

/// Owns a stream during close_lingering() and deletes itself afterwards.
class tcp_stream::lingering_close final : public stream_listener
{
public:
    lingering_close(event_loop& loop, std::unique_ptr<tcp_stream> stream)
        : loop_{loop}
        , stream_{std::move(stream)}
    {
        stream_->listener_ = this;
        stream_->set_reading(true);
        stream_->set_reset_on_close(true);
        timer_ = loop_.schedule(lingering_close_timeout, [this] {
            timer_ = 0;
            on_ended(stream_end::closed);
        });
        on_drained();
    }

    void on_received(std::string_view /*bytes*/) override {}

    void on_drained() override
    {
        if (stream_->is_open() && stream_->pending() == 0) {
            stream_->set_reset_on_close(false);
            ACE_OS::shutdown(stream_->descriptor_, ACE_SHUTDOWN_WRITE);
        }
    }

    void on_ended(stream_end /*how*/) override
    {
        loop_.cancel(std::exchange(timer_, 0));
        stream_->close();
        loop_.defer([this] { delete this; }); // NOLINT(cppcoreguidelines-owning-memory)
    }

private:
    event_loop& loop_;
    std::unique_ptr<tcp_stream> stream_;
    timer_id timer_{0};
};

tcp_stream::tcp_stream(event_loop& loop, stream_listener& listener, int descriptor,
                       liveness_limits limits)
    : loop_{loop}
    , listener_{&listener}
    , descriptor_{descriptor}
    , connected_{true}
{
    set_options(limits);
    update_interest();
}

tcp_stream::tcp_stream(event_loop& loop, stream_listener& listener, const std::string& address,
                       liveness_limits limits)
    : loop_{loop}
    , listener_{&listener}
{
    const auto remote = to_inet_address(address);
    ACE_SOCK_Stream socket;
    ACE_Time_Value no_wait{ACE_Time_Value::zero};
    if (remote &&
        (ACE_SOCK_Connector{}.connect(socket, *remote, &no_wait) == 0 || errno == EWOULDBLOCK)) {
        descriptor_ = socket.get_handle();
        socket.enable(ACE_NONBLOCK);
        set_options(limits);
        interest_ = {false, true};
        if (loop_.watch(descriptor_, *this, interest_)) {
            return;
        }
    }
    loop_.schedule(time_ms{0}, [this] {
        if (listener_ != nullptr) {
            end(stream_end::connect_failed);
        }
    });
}

tcp_stream::~tcp_stream()
{
    close();
}

void tcp_stream::set_options(liveness_limits limits) const
{
    set_int_option(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int_option(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(limits.unacknowledged.count()));
    set_int_option(descriptor_, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int_option(descriptor_, IPPROTO_TCP, TCP_KEEPIDLE,
                   static_cast<int>((limits.keepalive_idle.count() + 999) / 1000));
    set_int_option(descriptor_, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_int_option(descriptor_, IPPROTO_TCP, TCP_KEEPCNT, limits.keepalive_probes);
}

void tcp_stream::write(std::string_view bytes)
{
    if (!is_open() || bytes.empty()) {
        return;
    }
    if (connected_ && pending() == 0) {
        const auto n = ACE_OS::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n > 0) {
            loop_.count_sent(static_cast<std::size_t>(n));
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        // If send() failed, the next read reports the error.
    }
    if (!bytes.empty()) {
        send_buffer_.append(bytes);
        update_interest();
    }
}

void tcp_stream::set_reading(bool on)
{
    reading_enabled_ = on;
    update_interest();
}

void tcp_stream::update_interest()
{
    if (!is_open() || !connected_) {
        return;
    }
    const event_interest required{reading_enabled_, pending() > 0};
    if (required == interest_) {
        return;
    }
    interest_ = required;
    if (!loop_.watch(descriptor_, *this, required)) {
        loop_.schedule(time_ms{0}, [this] {
            if (listener_ != nullptr) {
                end(stream_end::reset);
            }
        });
    }
}

void tcp_stream::close()
{
    listener_ = nullptr;
    if (descriptor_ < 0) {
        return;
    }
    loop_.unwatch(descriptor_);
    ACE_OS::closesocket(std::exchange(descriptor_, -1));
}

void tcp_stream::set_reset_on_close(bool on)
{
    if (is_open()) {
        const linger zero_linger{on ? 1 : 0, 0};
        ACE_OS::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER,
                           reinterpret_cast<const char*>(&zero_linger), sizeof zero_linger);
    }
}

void tcp_stream::reset()
{
    set_reset_on_close(true);
    close();
}

bool tcp_stream::stop_sending()
{
    return is_open() && connected_ && pending() == 0 &&
           ACE_OS::shutdown(descriptor_, ACE_SHUTDOWN_WRITE) == 0;
}

bool tcp_stream::has_peer_closed() const
{
    char byte = 0;
    const auto n = ACE_OS::recv(descriptor_, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EWOULDBLOCK && errno != EAGAIN && errno != EINTR);
}

bool tcp_stream::has_input() const
{
    char byte = 0;
    return ACE_OS::recv(descriptor_, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void tcp_stream::close_lingering(std::unique_ptr<tcp_stream> stream)
{
    if (!stream || !stream->is_open()) {
        return;
    }
    auto& loop = stream->loop_;
    new lingering_close{loop, std::move(stream)}; // NOLINT(cppcoreguidelines-owning-memory)
}

void tcp_stream::end(stream_end how)
{
    auto* const listener = std::exchange(listener_, nullptr);
    close();
    if (listener != nullptr) {
        listener->on_ended(how);
    }
}

void tcp_stream::on_readable()
{
    static thread_local std::array<char, receive_buffer_bytes> buffer;
    const auto n = ACE_OS::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (n > 0) {
        loop_.count_received(static_cast<std::size_t>(n));
        listener_->on_received({buffer.data(), static_cast<std::size_t>(n)});
        return;
    }
    if (n == 0) {
        end(stream_end::closed);
    } else if (errno != EWOULDBLOCK && errno != EAGAIN && errno != EINTR) {
        end(stream_end::reset);
    }
}

void tcp_stream::on_writable()
{
    if (!connected_) {
        int error = 0;
        int length = sizeof error;
        ACE_OS::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, reinterpret_cast<char*>(&error),
                           &length);
        if (error != 0) {
            end(stream_end::connect_failed);
            return;
        }
        connected_ = true;
        listener_->on_connected();
        if (!is_open()) {
            return;
        }
    }
    if (flush()) {
        update_interest();
    }
}

bool tcp_stream::flush()
{
    if (pending() > 0) {
        const auto n =
            ACE_OS::send(descriptor_, send_buffer_.data() + sent_bytes_, pending(), MSG_NOSIGNAL);
        if (n < 0 && errno != EWOULDBLOCK && errno != EAGAIN && errno != EINTR) {
            end(stream_end::reset);
            return false;
        }
        const auto sent = static_cast<std::size_t>(std::max<ssize_t>(n, 0));
        loop_.count_sent(sent);
        sent_bytes_ += sent;
        if (pending() > 0) {
            // A peer that never catches up would otherwise make the buffer grow without end.
            if (sent_bytes_ >= pending()) {
                send_buffer_.erase(0, std::exchange(sent_bytes_, 0));
            }
            return true;
        }
        send_buffer_.clear();
        sent_bytes_ = 0;
        if (listener_ != nullptr) {
            listener_->on_drained();
        }
    }
    return is_open();
}

} // namespace jujubevalve
