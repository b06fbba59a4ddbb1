#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace jujubevalve
{

/// Carries TCP connections from its own address to another one and can break or silence them. Takes
/// the place of the network between two processes in tests.
class tcp_relay
{
public:
    /// What happens to connections from now on: carried, accepted without ever moving a byte, or
    /// refused by the operating system.
    enum class mode { carry, silent, refuse };

    /// Listens on a free loopback port. Throws std::system_error if it cannot.
    explicit tcp_relay(const std::string& target = {});
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    /// The address it listens on; it stays the same in every mode.
    [[nodiscard]] std::string address() const;

    /// Sets the ip:port that connections from now on lead to. Without a target they are closed.
    void set_target(const std::string& target);

    /// Sets what happens to new connections; open ones go on as they are.
    void set_mode(mode of_new_connections);

    /// Open connections move no byte from now on, in either direction, and stay open.
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
