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
    closed,         ///< the peer closed it in order
    reset,          ///< the peer or the network broke it
    connect_failed, ///< it was never established, so nothing was delivered
};

/// Receives what happens on a tcp_stream. After on_ended() no further call is made.
class stream_listener
{
public:
    stream_listener() = default;
    stream_listener(const stream_listener&) = delete;
    stream_listener& operator=(const stream_listener&) = delete;
    virtual ~stream_listener() = default;

    virtual void on_connected() {}
    virtual void on_received(std::string_view bytes) = 0;
    /// Everything written has been handed to the kernel.
    virtual void on_drained() {}
    virtual void on_ended(stream_end how) = 0;
};

/// Times after which the kernel gives up a silent peer.
struct silence_limits {
    time_ms unacknowledged{3000}; ///< for bytes that the peer has not acknowledged
    time_ms probe_after{2000};    ///< of idleness, then one probe each second
    int probes{2};
};

/// A non-blocking TCP connection. Writes are buffered. The listener may close() the stream in any
/// call; destroying it inside a call must be deferred.
class tcp_stream final : private event_handler
{
public:
    /// Takes over an accepted descriptor.
    tcp_stream(event_loop& loop, stream_listener& listener, int descriptor, silence_limits limits);

    /// Begins to connect to ip:port. The outcome is reported through the listener, also if it
    /// fails at once.
    tcp_stream(event_loop& loop, stream_listener& listener, const std::string& address,
               silence_limits limits);

    ~tcp_stream() override;
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Sends bytes, now or as soon as the peer takes them.
    void write(std::string_view bytes);

    /// Bytes that wait to be sent.
    [[nodiscard]] std::size_t pending() const { return out_.size() - sent_; }

    /// Stops or resumes reading; the peer is slowed down meanwhile, and its close goes unnoticed.
    void set_reading(bool on);

    /// Closes the sending side; bytes are still received. Fails without effect if the stream is not
    /// connected or bytes wait to be sent.
    bool stop_sending();

    /// Closes at once; bytes not yet sent are dropped. No further call to the listener.
    void close();

    /// Closes at once with a reset, so that the peer cannot take it for an orderly end.
    void reset();

    /// Sends what waits and closes the sending side, reads and drops what still comes for a short
    /// time, then closes; so that the peer gets the last bytes even if it is still sending.
    static void close_gently(std::unique_ptr<tcp_stream> stream);

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] bool is_connected() const { return connected_; }

private:
    class lingerer;

    void on_readable() override;
    void on_writable() override;
    bool flush();
    void update_interest();
    void end(stream_end how);
    void set_options(silence_limits limits) const;

    event_loop& loop_;
    stream_listener* listener_;
    int descriptor_{-1};
    bool connected_{false};
    bool reading_{true};
    std::string out_;
    std::size_t sent_{0};
    event_interest interest_;
};

} // namespace jujubevalve
