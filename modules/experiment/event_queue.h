#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace jujubevalve::experiment
{

/// Actions in the order of their virtual times; those of the same time run in the order in which
/// they were added, so that a run depends on its seed only.
class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] time_ms now() const { return now_; }

    /// Runs the action at that time, or next if the time has passed.
    void at(time_ms when, action run);

    /// Runs the action after a delay.
    void after(time_ms delay, action run) { at(now_ + delay, std::move(run)); }

    /// Runs everything up to and including that time.
    void run_until(time_ms end);

private:
    struct event {
        time_ms when;
        std::uint64_t seq{0};
        action run;
    };
    static bool is_later(const event& a, const event& b);

    std::vector<event> heap_;
    time_ms now_{};
    std::uint64_t last_seq_{0};
};

} // namespace jujubevalve::experiment
