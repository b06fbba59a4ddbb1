#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace jujubevalve
{

/// Accepts connections on loopback, one at a time, and answers each after the request's head with
/// whatever its handler sends; then closes it in order.
class byte_server
{
public:
    /// Sends bytes to the client. Returns false once it has gone.
    using sender = std::function<bool(std::string_view)>;

    explicit byte_server(std::function<void(const sender&)> answer)
        : answer_{std::move(answer)}
        , listener_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), length);
        ::listen(listener_, 16);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread{[this] { serve(); }};
    }
    byte_server(const byte_server&) = delete;
    byte_server& operator=(const byte_server&) = delete;
    ~byte_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] int requests() const { return requests_; }

private:
    void serve()
    {
        for (int client = 0; (client = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            char block[4096];
            std::string request;
            while (request.find("\r\n\r\n") == std::string::npos) {
                const auto n = ::recv(client, block, sizeof block, 0);
                if (n <= 0) {
                    break;
                }
                request.append(block, static_cast<std::size_t>(n));
            }
            ++requests_;
            answer_([client](std::string_view bytes) {
                return ::send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                       static_cast<ssize_t>(bytes.size());
            });
            ::shutdown(client, SHUT_WR);
            while (::recv(client, block, sizeof block, 0) > 0) {
            }
            ::close(client);
        }
    }

    std::function<void(const sender&)> answer_;
    int listener_;
    std::string address_;
    std::atomic<int> requests_{0};
    std::thread thread_;
};

} // namespace jujubevalve
