#pragma once

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <array>
#include <atomic>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace jujubevalve
{

/// A TCP relay whose open connections can be silenced permanently while new ones work.
class tcp_relay
{
public:
    explicit tcp_relay(const std::string& target)
        : target_{target.c_str()}
    {
        acceptor_.open(ACE_INET_Addr{"127.0.0.1:0"}, 1);
        thread_ = std::thread{[this] { accept_all(); }};
    }

    ~tcp_relay()
    {
        stopping_ = true;
        thread_.join();
        for (auto& pump : pumps_) {
            pump.join();
        }
        acceptor_.close();
    }

    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    [[nodiscard]] std::string address() const
    {
        ACE_INET_Addr bound;
        acceptor_.get_local_addr(bound);
        return fmt::format("127.0.0.1:{}", bound.get_port_number());
    }

    /// From now on, drops all bytes on the connections that exist at the time of the call.
    void silence_open_connections() { silent_up_to_ = accepted_.load(); }

    [[nodiscard]] int accepted() const { return accepted_; }

private:
    using stream_pair = std::pair<ACE_SOCK_Stream, ACE_SOCK_Stream>;

    void accept_all()
    {
        while (!stopping_) {
            ACE_Time_Value wait{0, 20'000};
            auto streams = std::make_shared<stream_pair>();
            if (acceptor_.accept(streams->first, nullptr, &wait) != 0) {
                continue;
            }
            ACE_SOCK_Connector{}.connect(streams->second, target_);
            const int number = ++accepted_;
            pumps_.emplace_back([this, streams, number] { pump(*streams, number); });
        }
        for (auto& pump : pumps_) {
            pump.join();
        }
        pumps_.clear();
    }

    void pump(stream_pair& streams, int number)
    {
        while (!stopping_ && move_bytes(streams.first, streams.second, number) &&
               move_bytes(streams.second, streams.first, number)) {
        }
        streams.first.close();
        streams.second.close();
    }

    bool move_bytes(ACE_SOCK_Stream& from, ACE_SOCK_Stream& to, int number)
    {
        std::array<char, 4096> bytes{};
        ACE_Time_Value wait{0, 2'000};
        const auto count = from.recv(bytes.data(), bytes.size(), &wait);
        if (count < 0 && errno == ETIME) {
            return true;
        }
        if (count <= 0) {
            return false;
        }
        return number <= silent_up_to_ ||
               to.send_n(bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
    }

    ACE_INET_Addr target_;
    ACE_SOCK_Acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> accepted_{0};
    std::atomic<int> silent_up_to_{0};
    std::vector<std::thread> pumps_;
    std::thread thread_;
};

} // namespace jujubevalve
