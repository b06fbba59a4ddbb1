#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace jujubevalve
{

/// Forwards TCP connections from its own address to a target and can reset or silence them.
/// Simulates network faults between two processes in tests.
class tcp_relay
{
public:
    /// Treatment of new connections: forwarded, accepted without transferring any byte, or refused
    /// by the operating system.
    enum class mode { carry, silent, refuse };

    /// Listens on a free loopback port. Throws std::system_error on failure.
    explicit tcp_relay(const std::string& target = {});
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    /// The listening address, which is the same in every mode.
    [[nodiscard]] std::string address() const;

    /// Sets the target ip:port of new connections. Without a target they are reset.
    void set_target(const std::string& target);

    /// Sets the treatment of new connections; open ones are not affected.
    void set_mode(mode of_new_connections);

    /// Stops transferring bytes on all open connections, in both directions, but keeps them open.
    void silence_open();

    /// Resets all open connections.
    void cut_open();

    /// Number of connections accepted so far.
    [[nodiscard]] std::int64_t accepted() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
