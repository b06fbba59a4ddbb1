#pragma once

#include "gateway/peer_messages.h"
#include "net/tcp_stream.h"

#include <functional>
#include <string>

namespace jujubevalve
{

/// A TCP connection that carries messages between two instances. Its owner must not destroy it in
/// a callback; use event_loop::defer().
class peer_link final : private stream_listener
{
public:
    struct handlers {
        std::function<void(const peer_message&)> received;
        /// The connection has ended, or its bytes could not be read as messages.
        std::function<void()> ended;
    };

    /// Connects to `address`.
    peer_link(event_loop& loop, const std::string& address, handlers callbacks);
    /// Takes ownership of an accepted descriptor.
    peer_link(event_loop& loop, int descriptor, handlers callbacks);

    void send(const peer_message& message);

    [[nodiscard]] bool is_open() const { return stream_.is_open(); }
    [[nodiscard]] bool is_connected() const { return stream_.is_connected(); }

    /// Closes the connection; no callback follows.
    void close();

private:
    void on_received(std::string_view bytes) override;
    void on_ended(stream_end how) override;

    handlers handlers_;
    peer_message_reader reader_;
    tcp_stream stream_;
};

} // namespace jujubevalve
