#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace jujubevalve::experiment
{

/// The virtual clock and its scheduled actions. Actions due at the same time run in the order in
/// which they were added, so that a run depends on its seed only.
class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] time_ms now() const { return now_; }

    /// Schedules the action for that time, or for the current time if it has passed.
    void at(time_ms when, action run);

    /// Schedules the action after a delay.
    void after(time_ms delay, action run) { at(now_ + delay, std::move(run)); }

    /// Runs every action that is due up to and including `end`.
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
