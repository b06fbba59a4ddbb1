#pragma once

#include "core/result.h"
#include "net/event_loop.h"

#include <ace/SOCK_Acceptor.h>
#include <functional>
#include <string>

namespace jujubevalve
{

/// Accepts TCP connections and passes their non-blocking descriptors to a handler.
class tcp_listener final : private event_handler
{
public:
    using accept_handler = std::function<void(int descriptor)>;

    tcp_listener(event_loop& loop, accept_handler handler);
    ~tcp_listener() override;
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// Binds to `ip:port` and listens. Fails with `invalid_setting` and a message with the address
    /// and the cause.
    [[nodiscard]] status open(const std::string& address);

    /// Returns the bound port; 0 before open().
    [[nodiscard]] int port() const;

    /// Stops accepting connections, after those that wait to be accepted.
    void close();

private:
    void on_readable() override;
    void on_writable() override {}
    void accept(int max_count);

    event_loop& loop_;
    accept_handler handler_;
    ACE_SOCK_Acceptor acceptor_;
    bool open_{false};
};

} // namespace jujubevalve
