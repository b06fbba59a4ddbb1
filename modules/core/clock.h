#pragma once

#include "core/time_ms.h"

#include <concepts>

namespace jujubevalve
{

/// A clock that returns the current time in milliseconds.
template <class T>
concept clock_source = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<time_ms>;
};

/// Monotonic clock of this machine. Its zero point is arbitrary.
class steady_clock_ms
{
public:
    [[nodiscard]] time_ms now() const;
};

/// Milliseconds since the Unix epoch. May jump: use it for timestamps in records only, not to
/// measure durations.
class wall_clock_ms
{
public:
    [[nodiscard]] time_ms now() const;
};

/// A clock that tests and experiments set and advance explicitly.
class manual_clock_ms
{
public:
    [[nodiscard]] time_ms now() const { return now_; }
    void advance(time_ms by) { now_ = now_ + by; }
    void set(time_ms to) { now_ = to; }

private:
    time_ms now_{};
};

} // namespace jujubevalve
