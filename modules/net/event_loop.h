#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace jujubevalve
{

/// Receives readiness events of a file descriptor.
class event_handler
{
public:
    event_handler() = default;
    event_handler(const event_handler&) = delete;
    event_handler& operator=(const event_handler&) = delete;
    virtual ~event_handler() = default;

    /// Called when the descriptor is readable, or at end of file or on an error.
    virtual void on_readable() = 0;
    /// Called when the descriptor is writable, or when a connect has succeeded or failed.
    virtual void on_writable() = 0;
};

/// Identifies a scheduled task; 0 is never used for one.
using timer_id = std::uint64_t;

/// The events that a handler is notified of.
struct event_interest {
    bool read{false};
    bool write{false};

    friend bool operator==(const event_interest&, const event_interest&) = default;
};

/// Bytes that the streams of an event loop have exchanged with their sockets since the start.
struct traffic_totals {
    std::int64_t received{0};
    std::int64_t sent{0};

    friend bool operator==(const traffic_totals&, const traffic_totals&) = default;
};

/// Runs I/O handlers (on an ACE reactor), steady-clock timers and deferred tasks on the thread that
/// calls run(). Not thread-safe.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Returns the steady time, cached once per loop iteration.
    [[nodiscard]] time_ms now() const;

    /// Runs the task once after the delay. A negative delay counts as 0.
    timer_id schedule(time_ms delay, std::function<void()> task);

    /// Cancels a scheduled task. Does nothing for 0 or an unknown id.
    void cancel(timer_id id);

    /// Runs the task at the end of the current iteration. Use it to destroy an object while one of
    /// its methods is still on the call stack.
    void defer(std::function<void()> task);

    /// Watches a descriptor, or changes its interest. Returns false if the reactor is full.
    [[nodiscard]] bool watch(int descriptor, event_handler& handler, event_interest interest);

    /// Stops watching the descriptor. The handler receives no further calls.
    void unwatch(int descriptor);

    /// Returns the maximum number of descriptors that can be watched at the same time.
    [[nodiscard]] static std::size_t capacity();

    /// Returns the bytes that the streams have exchanged with their sockets.
    [[nodiscard]] const traffic_totals& traffic() const { return traffic_; }
    void count_received(std::size_t bytes)
    {
        traffic_.received += static_cast<std::int64_t>(bytes);
    }
    void count_sent(std::size_t bytes) { traffic_.sent += static_cast<std::int64_t>(bytes); }

    /// Runs until stop() is called.
    void run();

    /// Makes run() return after the current iteration.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
    traffic_totals traffic_;
};

} // namespace jujubevalve
