#pragma once

#include "core/result.h"
#include "net/event_loop.h"

#include <ace/SOCK_Acceptor.h>
#include <functional>
#include <string>

namespace jujubevalve
{

/// Accepts connections at an address and hands their non-blocking descriptors on.
class tcp_listener final : private event_handler
{
public:
    using accepted = std::function<void(int descriptor)>;

    tcp_listener(event_loop& loop, accepted handler);
    ~tcp_listener() override;
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// Binds and listens. Fails with `invalid_setting`, naming the address and the cause.
    [[nodiscard]] status open(const std::string& address);

    /// Port that is bound; 0 before open().
    [[nodiscard]] int port() const;

    /// Refuses further connections.
    void close();

private:
    void on_readable() override;
    void on_writable() override {}

    event_loop& loop_;
    accepted handler_;
    ACE_SOCK_Acceptor acceptor_;
    bool open_{false};
};

} // namespace jujubevalve
