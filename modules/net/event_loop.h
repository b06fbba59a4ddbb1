#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace jujubevalve
{

/// Receives the readiness of a descriptor.
class event_handler
{
public:
    event_handler() = default;
    event_handler(const event_handler&) = delete;
    event_handler& operator=(const event_handler&) = delete;
    virtual ~event_handler() = default;

    /// The descriptor can be read, or has ended.
    virtual void on_readable() = 0;
    /// The descriptor can be written, or a connect has ended.
    virtual void on_writable() = 0;
};

/// Names a scheduled task; 0 names none.
using timer_id = std::uint64_t;

/// Which events a handler waits for.
struct event_interest {
    bool read{false};
    bool write{false};

    friend bool operator==(const event_interest&, const event_interest&) = default;
};

/// An ACE reactor, timers on the steady clock and deferred tasks, all run by the thread that calls
/// run(). Not safe for use from several threads.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Steady time, read once for each round of events.
    [[nodiscard]] time_ms now() const;

    /// Runs the task once after the delay.
    timer_id schedule(time_ms delay, std::function<void()> task);

    /// Drops a scheduled task; unknown and 0 are allowed.
    void cancel(timer_id id);

    /// Runs the task after the present round of events; used to destroy objects whose method is
    /// still on the stack.
    void defer(std::function<void()> task);

    /// Watches a descriptor, or changes what is watched. False if the reactor is full.
    [[nodiscard]] bool watch(int descriptor, event_handler& handler, event_interest interest);

    /// Ends the watch. The handler gets no further call.
    void unwatch(int descriptor);

    /// Largest number of descriptors that can be watched at a time.
    [[nodiscard]] static std::size_t capacity();

    /// Runs until stop() is called.
    void run();

    /// Ends run() after the present round.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
