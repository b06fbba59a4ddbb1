#include "net/tcp_stream.h"

#include "net/socket_address.h"

#include <ace/OS_NS_sys_socket.h>
#include <ace/OS_NS_unistd.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t read_size = 32 * 1024;
constexpr time_ms linger_limit{1000}; ///< wait for the peer's close after the last byte

void set_int(int descriptor, int level, int option, int value)
{
    ACE_OS::setsockopt(descriptor, level, option, reinterpret_cast<const char*>(&value),
                       sizeof value);
}
} // namespace

/// Owns a stream that is being closed gently.
class tcp_stream::lingerer final : public stream_listener
{
public:
    lingerer(event_loop& loop, std::unique_ptr<tcp_stream> stream)
        : loop_{loop}
        , stream_{std::move(stream)}
    {
        stream_->listener_ = this;
        stream_->set_reading(true);
        timer_ = loop_.schedule(linger_limit, [this] {
            timer_ = 0;
            on_ended(stream_end::closed);
        });
        on_drained();
    }

    void on_received(std::string_view /*bytes*/) override {}

    void on_drained() override
    {
        if (stream_->is_open() && stream_->pending() == 0) {
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
                       silence_limits limits)
    : loop_{loop}
    , listener_{&listener}
    , descriptor_{descriptor}
    , connected_{true}
{
    set_options(limits);
    update_interest();
}

tcp_stream::tcp_stream(event_loop& loop, stream_listener& listener, const std::string& address,
                       silence_limits limits)
    : loop_{loop}
    , listener_{&listener}
{
    const auto remote = to_inet_address(address);
    ACE_SOCK_Stream socket;
    ACE_Time_Value at_once{ACE_Time_Value::zero};
    if (remote &&
        (ACE_SOCK_Connector{}.connect(socket, *remote, &at_once) == 0 || errno == EWOULDBLOCK)) {
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

void tcp_stream::set_options(silence_limits limits) const
{
    set_int(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(limits.unacknowledged.count()));
    set_int(descriptor_, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int(descriptor_, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>((limits.probe_after.count() + 999) / 1000));
    set_int(descriptor_, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_int(descriptor_, IPPROTO_TCP, TCP_KEEPCNT, limits.probes);
}

void tcp_stream::write(std::string_view bytes)
{
    if (!is_open() || bytes.empty()) {
        return;
    }
    if (connected_ && pending() == 0) {
        const auto n = ACE_OS::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        // Any other failure shows at the next read.
    }
    if (!bytes.empty()) {
        out_.append(bytes);
        update_interest();
    }
}

void tcp_stream::set_reading(bool on)
{
    reading_ = on;
    update_interest();
}

void tcp_stream::update_interest()
{
    if (!is_open() || !connected_) {
        return;
    }
    const event_interest wanted{reading_, pending() > 0};
    if (wanted == interest_) {
        return;
    }
    interest_ = wanted;
    if (!loop_.watch(descriptor_, *this, wanted)) {
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

void tcp_stream::reset()
{
    if (is_open()) {
        const linger at_once{1, 0};
        ACE_OS::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER,
                           reinterpret_cast<const char*>(&at_once), sizeof at_once);
    }
    close();
}

bool tcp_stream::stop_sending()
{
    return is_open() && connected_ && pending() == 0 &&
           ACE_OS::shutdown(descriptor_, ACE_SHUTDOWN_WRITE) == 0;
}

void tcp_stream::close_gently(std::unique_ptr<tcp_stream> stream)
{
    if (!stream || !stream->is_open()) {
        return;
    }
    auto& loop = stream->loop_;
    new lingerer{loop, std::move(stream)}; // NOLINT(cppcoreguidelines-owning-memory)
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
    static thread_local std::array<char, read_size> buffer;
    const auto n = ACE_OS::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (n > 0) {
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
        const auto n = ACE_OS::send(descriptor_, out_.data() + sent_, pending(), MSG_NOSIGNAL);
        if (n < 0 && errno != EWOULDBLOCK && errno != EAGAIN && errno != EINTR) {
            end(stream_end::reset);
            return false;
        }
        sent_ += n > 0 ? static_cast<std::size_t>(n) : 0;
        if (pending() > 0) {
            return true;
        }
        out_.clear();
        sent_ = 0;
        if (listener_ != nullptr) {
            listener_->on_drained();
        }
    }
    return is_open();
}

} // namespace jujubevalve
