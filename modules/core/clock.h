#pragma once

#include "core/time_ms.h"

#include <concepts>

namespace jujubevalve
{

/// Anything that tells the time in milliseconds.
template <class T>
concept clock_source = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<time_ms>;
};

/// Monotonic time of this machine; its zero point has no meaning.
class steady_clock_ms
{
public:
    [[nodiscard]] time_ms now() const;
};

/// Milliseconds since the Unix epoch. May jump; used for audit entries only.
class wall_clock_ms
{
public:
    [[nodiscard]] time_ms now() const;
};

/// A clock that tests and experiments move by hand.
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
