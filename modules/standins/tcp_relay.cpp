#include "standins/tcp_relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace jujubevalve
{

namespace
{
constexpr int backlog = 256;
constexpr std::size_t max_buffered_bytes = 64 * 1024;

// Owns a file descriptor.
class descriptor
{
public:
    descriptor() = default;
    explicit descriptor(int fd)
        : fd_{fd}
    {
    }
    ~descriptor() { reset(); }
    descriptor(descriptor&& other) noexcept
        : fd_{std::exchange(other.fd_, -1)}
    {
    }
    descriptor& operator=(descriptor&& other) noexcept
    {
        if (this != &other) {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    [[nodiscard]] int get() const { return fd_; }
    [[nodiscard]] bool open() const { return fd_ >= 0; }

    void reset()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = -1;
    }

private:
    int fd_{-1};
};

[[noreturn]] void fail(const char* step)
{
    throw std::system_error{errno, std::generic_category(), step};
}

descriptor make_socket(int flags)
{
    descriptor made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0)};
    if (!made.open()) {
        fail("socket");
    }
    return made;
}

const sockaddr* generic(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address);
}

// Binds to a loopback port; 0 takes a free one.
descriptor bind_port(std::uint16_t port)
{
    auto bound = make_socket(SOCK_NONBLOCK);
    const int on = 1;
    ::setsockopt(bound.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(bound.get(), generic(address), sizeof address) != 0) {
        fail("bind");
    }
    return bound;
}

std::uint16_t port_of(const descriptor& bound)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (::getsockname(bound.get(), reinterpret_cast<sockaddr*>(&address), &length) != 0) {
        fail("getsockname");
    }
    return ntohs(address.sin_port);
}

// Returns a closed descriptor if nothing listens there.
descriptor connect_to(const std::string& target)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto colon = target.find(':');
    if (colon == std::string::npos ||
        ::inet_pton(AF_INET, target.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return {};
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(target.substr(colon + 1))));
    auto connected = make_socket(0);
    if (::connect(connected.get(), generic(address), sizeof address) != 0) {
        return {};
    }
    return connected;
}

void prepare(const descriptor& socket)
{
    const int on = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::fcntl(socket.get(), F_SETFL, ::fcntl(socket.get(), F_GETFL) | O_NONBLOCK);
}

// Makes the next close send a reset instead of a normal shutdown.
void reset_on_close(const descriptor& socket)
{
    const linger at_once{1, 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

// One direction of a connection.
struct flow {
    std::string buffer;
    bool read_end{false};  // the sender closed its direction
    bool write_end{false}; // the close was forwarded

    // Transfers what it can without blocking; returns false on error.
    bool move(const descriptor& from, const descriptor& to, bool readable)
    {
        if (readable && !read_end && buffer.size() < max_buffered_bytes && !read(from)) {
            return false;
        }
        while (!buffer.empty()) {
            const auto sent = ::send(to.get(), buffer.data(), buffer.size(), MSG_NOSIGNAL);
            if (sent < 0) {
                return would_block();
            }
            buffer.erase(0, static_cast<std::size_t>(sent));
        }
        if (read_end && !write_end) {
            write_end = true;
            ::shutdown(to.get(), SHUT_WR);
        }
        return true;
    }

private:
    bool read(const descriptor& from)
    {
        std::array<char, 16 * 1024> bytes{};
        const auto got = ::recv(from.get(), bytes.data(), bytes.size(), 0);
        if (got < 0) {
            return would_block();
        }
        read_end = got == 0;
        buffer.append(bytes.data(), static_cast<std::size_t>(got));
        return true;
    }
};

struct connection {
    descriptor near;
    descriptor far;
    flow out; // near to far
    flow back;
    bool silent{false};

    [[nodiscard]] bool ended() const { return out.write_end && back.write_end; }
};

short poll_events(const flow& in, const flow& out)
{
    const bool reads = !in.read_end && in.buffer.size() < max_buffered_bytes;
    return static_cast<short>((reads ? POLLIN : 0) | (out.buffer.empty() ? 0 : POLLOUT));
}
} // namespace

class tcp_relay::impl
{
public:
    explicit impl(std::string target)
        : reserved_{bind_port(0)}
        , port_{port_of(reserved_)}
        , wake_{::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)}
        , target_{std::move(target)}
    {
        if (!wake_.open()) {
            fail("eventfd");
        }
        listen();
        thread_ = std::thread{[this] { run(); }};
    }

    ~impl()
    {
        change([this] { stopping_ = true; });
        thread_.join();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }

    void set_target(const std::string& target)
    {
        change([&] { target_ = target; });
    }

    void set_mode(mode of_new_connections)
    {
        change([&] {
            mode_ = of_new_connections;
            if (mode_ == mode::refuse) {
                listener_.reset();
            } else if (!listener_.open()) {
                listen();
            }
        });
    }

    void silence_open()
    {
        change([this] {
            accept_all();
            for (auto& open : connections_) {
                open.silent = true;
            }
        });
    }

    void cut_open()
    {
        change([this] {
            accept_all();
            for (auto& open : connections_) {
                reset_on_close(open.near);
                reset_on_close(open.far);
            }
            connections_.clear();
        });
    }

    [[nodiscard]] std::int64_t accepted() const
    {
        const std::lock_guard lock{mutex_};
        return accepted_;
    }

private:
    // Changes the state under the lock and wakes the relay thread.
    template <class Change>
    void change(const Change& apply)
    {
        const std::lock_guard lock{mutex_};
        apply();
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(wake_.get(), &one, sizeof one);
    }

    // The reserved socket keeps the port while no socket listens on it.
    void listen()
    {
        listener_ = bind_port(port_);
        if (::listen(listener_.get(), backlog) != 0) {
            fail("listen");
        }
    }

    void accept_all()
    {
        while (listener_.open()) {
            connection made;
            made.near = descriptor{::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC)};
            if (!made.near.open()) {
                return;
            }
            ++accepted_;
            made.silent = mode_ == mode::silent;
            if (!made.silent) {
                made.far = connect_to(target_);
                if (!made.far.open()) {
                    reset_on_close(made.near);
                    continue;
                }
                prepare(made.far);
            }
            prepare(made.near);
            connections_.push_back(std::move(made));
        }
    }

    void run()
    {
        std::vector<pollfd> waits;
        while (true) {
            {
                const std::lock_guard lock{mutex_};
                if (stopping_) {
                    return;
                }
                waits = list_waits();
            }
            ::poll(waits.data(), waits.size(), -1);
            const std::lock_guard lock{mutex_};
            std::uint64_t drained = 0;
            [[maybe_unused]] const auto got = ::read(wake_.get(), &drained, sizeof drained);
            accept_all();
            connections_.remove_if(
                [&](connection& open) { return !open.silent && !move(open, waits); });
        }
    }

    std::vector<pollfd> list_waits() const
    {
        std::vector<pollfd> waits{{wake_.get(), POLLIN, 0}};
        if (listener_.open()) {
            waits.push_back({listener_.get(), POLLIN, 0});
        }
        for (const auto& open : connections_) {
            if (!open.silent) {
                add_wait(waits, open.near, poll_events(open.out, open.back));
                add_wait(waits, open.far, poll_events(open.back, open.out));
            }
        }
        return waits;
    }

    // Skips a socket with no events to wait for: poll would report its hang-up again and again.
    static void add_wait(std::vector<pollfd>& waits, const descriptor& socket, short events)
    {
        if (events != 0) {
            waits.push_back({socket.get(), events, 0});
        }
    }

    // Returns false once the connection has ended.
    static bool move(connection& open, const std::vector<pollfd>& waits)
    {
        const auto readable = [&](const descriptor& socket) {
            return std::any_of(waits.begin(), waits.end(), [&](const auto& wait) {
                return wait.fd == socket.get() && (wait.revents & ~POLLOUT) != 0;
            });
        };
        if (!open.out.move(open.near, open.far, readable(open.near)) ||
            !open.back.move(open.far, open.near, readable(open.far))) {
            reset_on_close(open.near);
            reset_on_close(open.far);
            return false;
        }
        return !open.ended();
    }

    descriptor reserved_;
    std::uint16_t port_;
    descriptor wake_;
    mutable std::mutex mutex_;
    bool stopping_{false};
    mode mode_{mode::carry};
    std::string target_;
    std::int64_t accepted_{0};
    descriptor listener_;
    std::list<connection> connections_;
    std::thread thread_;
};

tcp_relay::tcp_relay(const std::string& target)
    : impl_{std::make_unique<impl>(target)}
{
}

tcp_relay::~tcp_relay() = default;

std::string tcp_relay::address() const
{
    return "127.0.0.1:" + std::to_string(impl_->port());
}

void tcp_relay::set_target(const std::string& target)
{
    impl_->set_target(target);
}

void tcp_relay::set_mode(mode of_new_connections)
{
    impl_->set_mode(of_new_connections);
}

void tcp_relay::silence_open()
{
    impl_->silence_open();
}

void tcp_relay::cut_open()
{
    impl_->cut_open();
}

std::int64_t tcp_relay::accepted() const
{
    return impl_->accepted();
}

} // namespace jujubevalve
