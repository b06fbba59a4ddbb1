#pragma once

#include "core/time_ms.h"
#include "net/event_loop.h"

#include <memory>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// How a stream ended.
enum class stream_end {
    closed,         ///< the peer closed it normally
    reset,          ///< the peer or the network broke it
    connect_failed, ///< it was never established, so nothing was sent
};

/// Receives the events of a tcp_stream. No call follows on_ended().
class stream_listener
{
public:
    stream_listener() = default;
    stream_listener(const stream_listener&) = delete;
    stream_listener& operator=(const stream_listener&) = delete;
    virtual ~stream_listener() = default;

    virtual void on_connected() {}
    virtual void on_received(std::string_view bytes) = 0;
    /// All written bytes have been passed to the kernel.
    virtual void on_drained() {}
    virtual void on_ended(stream_end how) = 0;
};

/// Limits after which the kernel closes the connection to an unresponsive peer.
struct liveness_limits {
    time_ms unacknowledged{3000}; ///< max age of unacknowledged bytes (TCP_USER_TIMEOUT)
    time_ms keepalive_idle{2000}; ///< idle time before the first probe; one follows each second
    int keepalive_probes{2};      ///< max unanswered probes (TCP_KEEPCNT)
};

/// A non-blocking TCP connection with buffered writes. The listener may close() the stream in any
/// of its calls, but must not destroy it there; use event_loop::defer().
class tcp_stream final : private event_handler
{
public:
    /// Takes ownership of an accepted descriptor.
    tcp_stream(event_loop& loop, stream_listener& listener, int descriptor, liveness_limits limits);

    /// Starts to connect to `ip:port`. Always reports the outcome through the listener, including
    /// an immediate failure.
    tcp_stream(event_loop& loop, stream_listener& listener, const std::string& address,
               liveness_limits limits);

    ~tcp_stream() override;
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Sends bytes; buffers those that the socket cannot take yet.
    void write(std::string_view bytes);

    /// Returns the number of buffered bytes that have not been sent.
    [[nodiscard]] std::size_t pending() const { return send_buffer_.size() - sent_bytes_; }

    /// Pauses or resumes reading. While paused, the peer is slowed down by flow control and its
    /// close is not noticed.
    void set_reading(bool on);

    /// Closes the sending side; bytes are still received. Returns false without effect if the
    /// stream is not connected or has unsent bytes.
    bool stop_sending();

    /// Closes immediately and discards unsent bytes. The listener receives no further calls.
    void close();

    /// While on, every close, also by the end of this process, is a TCP reset, so that the peer
    /// cannot mistake it for a normal one.
    void set_reset_on_close(bool on);

    /// Closes immediately with a TCP reset.
    void reset();

    /// Lingering close: sends the buffered bytes, closes the sending side, discards incoming bytes
    /// until the peer closes or for at most 1 s, then closes. The peer thus receives the last
    /// bytes even if it is still sending. Resets the connection if buffered bytes are left.
    static void close_lingering(std::unique_ptr<tcp_stream> stream);

    /// Returns whether the peer has closed or reset the connection and nothing it sent is left to
    /// be read, though this has not been reported yet.
    [[nodiscard]] bool has_peer_closed() const;

    /// Returns whether bytes have arrived that were not reported yet.
    [[nodiscard]] bool has_input() const;

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] bool is_connected() const { return connected_; }

private:
    class lingering_close;

    void on_readable() override;
    void on_writable() override;
    bool flush();
    void update_interest();
    void end(stream_end how);
    void set_options(liveness_limits limits) const;

    event_loop& loop_;
    stream_listener* listener_;
    int descriptor_{-1};
    bool connected_{false};
    bool reading_enabled_{true};
    std::string send_buffer_;
    std::size_t sent_bytes_{0};
    event_interest interest_;
};

} // namespace jujubevalve
