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

    /// Accepts at most as many connections at a time as `room` returns; others wait in the listen
    /// queue, which holds `backlog` of them, and beyond that their callers try again. If there is
    /// no room, nothing is accepted until resume(). Call it before open().
    void limit(std::function<int(int most)> room, int backlog);

    /// Accepts connections again, if there is room.
    void resume();

    [[nodiscard]] bool is_paused() const { return paused_; }

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
    std::function<int(int most)> room_; ///< empty: no limit
    int backlog_;
    bool paused_{false};
    ACE_SOCK_Acceptor acceptor_;
    bool open_{false};
};

} // namespace jujubevalve
