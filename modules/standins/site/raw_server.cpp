#include "standins/site/raw_server.h"

#include "core/clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace jujubevalve::site
{

namespace
{
constexpr int backlog = 256;
constexpr std::string_view end_of_head = "\r\n\r\n";

[[noreturn]] void fail(const char* what)
{
    throw std::system_error{errno, std::generic_category(), what};
}

sockaddr_in to_sockaddr(const std::string& address)
{
    const auto colon = address.find(':');
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &remote.sin_addr);
    return remote;
}

std::string header(const std::string& head, std::string_view name)
{
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto found = lower.find("\r\n" + std::string{name} + ":");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = head.find_first_not_of(' ', found + name.size() + 3);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

bool wait_readable(int descriptor, time_ms limit)
{
    pollfd wait{descriptor, POLLIN, 0};
    return ::poll(&wait, 1, static_cast<int>(std::max<std::int64_t>(0, limit.count()))) > 0;
}
} // namespace

bool raw_connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void raw_connection::close() const
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

// Disconnecting a socket that lingers for no time sends a reset; its owner closes it later.
void raw_connection::reset() const
{
    const linger no_linger{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    sockaddr nowhere{};
    nowhere.sa_family = AF_UNSPEC;
    (void)::connect(descriptor_, &nowhere, sizeof nowhere);
}

bool raw_connection::wait_closed(time_ms limit) const
{
    char byte = 0;
    return wait_readable(descriptor_, limit) && ::recv(descriptor_, &byte, 1, MSG_PEEK) <= 0;
}

class raw_server::impl
{
public:
    impl(handler on_request, answer_time when)
        : handler_{std::move(on_request)}
        , when_{when}
        , listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof local;
        auto* const address = reinterpret_cast<sockaddr*>(&local);
        if (::bind(listener_, address, size) != 0 || ::listen(listener_, backlog) != 0 ||
            ::getsockname(listener_, address, &size) != 0) {
            fail("cannot listen on loopback");
        }
        address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        acceptor_ = std::thread{[this] { accept(); }};
    }
    ~impl()
    {
        stopping_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        {
            const std::lock_guard lock{mutex_};
            for (const int descriptor : descriptors_) {
                ::shutdown(descriptor, SHUT_RDWR);
            }
        }
        for (auto& thread : threads_) {
            thread.join();
        }
        for (const int descriptor : descriptors_) {
            ::close(descriptor);
        }
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::string address_;
    std::atomic<int> requests_{0};

private:
    void accept()
    {
        while (!stopping_) {
            const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                continue;
            }
            const std::lock_guard lock{mutex_};
            descriptors_.push_back(descriptor);
            threads_.emplace_back([this, descriptor] { serve(descriptor); });
        }
    }

    void serve(int descriptor)
    {
        const raw_connection connection{descriptor};
        std::string input;
        std::array<char, 4096> bytes{};
        for (std::size_t number = 1;;) {
            const auto end = input.find(end_of_head);
            if (end != std::string::npos) {
                const auto head = input.substr(0, end + 2);
                const bool awaits_body = when_ == answer_time::after_request;
                const auto length =
                    awaits_body ? std::strtoull(header(head, "content-length").c_str(), nullptr, 10)
                                : 0;
                if (input.size() >= end + end_of_head.size() + length) {
                    input.erase(0, end + end_of_head.size() + length);
                    ++requests_;
                    handler_(connection,
                             {header(head, "x-request-id"), header(head, "x-expect-instance"),
                              header(head, "x-tenant"), number++, header(head, "last-event-id"),
                              header(head, "x-token-usage")});
                    if (!awaits_body) {
                        ::shutdown(descriptor, SHUT_RDWR);
                        return;
                    }
                    continue;
                }
            }
            const auto received = ::recv(descriptor, bytes.data(), bytes.size(), 0);
            if (received <= 0) {
                ::shutdown(descriptor, SHUT_RDWR);
                return;
            }
            input.append(bytes.data(), static_cast<std::size_t>(received));
        }
    }

    handler handler_;
    answer_time when_;
    int listener_;
    std::atomic<bool> stopping_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::vector<int> descriptors_;
    std::vector<std::thread> threads_;
};

raw_server::raw_server(handler on_request, answer_time when)
    : impl_{std::make_unique<impl>(std::move(on_request), when)}
{
}

raw_server::~raw_server() = default;

const std::string& raw_server::address() const
{
    return impl_->address_;
}

int raw_server::requests() const
{
    return impl_->requests_;
}

raw_caller::raw_caller(const std::string& address, int window_bytes)
    : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    if (window_bytes > 0) {
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof window_bytes);
    }
    const auto remote = to_sockaddr(address);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        ::close(descriptor_);
        fail("cannot connect");
    }
}

raw_caller::~raw_caller()
{
    close();
}

void raw_caller::send(std::string_view bytes) const
{
    (void)raw_connection{descriptor_}.send(bytes);
}

std::string raw_caller::receive_until(std::string_view text, time_ms limit) const
{
    std::string received;
    std::array<char, 4096> bytes{};
    const auto deadline = steady_clock_ms{}.now() + limit;
    while (received.find(text) == std::string::npos &&
           wait_readable(descriptor_, deadline - steady_clock_ms{}.now())) {
        const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            break;
        }
        received.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return received;
}

received_bytes raw_caller::receive_all(time_ms limit, std::size_t bytes_per_s) const
{
    received_bytes received;
    std::array<char, 4096> bytes{};
    const auto deadline = steady_clock_ms{}.now() + limit;
    while (wait_readable(descriptor_, deadline - steady_clock_ms{}.now())) {
        const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            received.end = count == 0 ? peer_end::closed : peer_end::reset;
            break;
        }
        received.bytes.append(bytes.data(), static_cast<std::size_t>(count));
        if (bytes_per_s > 0) {
            std::this_thread::sleep_for(std::chrono::microseconds{
                1'000'000 * static_cast<std::size_t>(count) / bytes_per_s});
        }
    }
    return received;
}

void raw_caller::close()
{
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

void raw_caller::reset()
{
    const linger no_linger{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    close();
}

void raw_caller::stop_sending() const
{
    ::shutdown(descriptor_, SHUT_WR);
}

} // namespace jujubevalve::site
