#pragma once

#include "core/time_ms.h"

namespace jujubevalve
{

/// Times of the shutdown steps, relative to the stop signal. Callers cache addresses, so new
/// connections still arrive after the instance has left the address list.
struct stop_sequence {
    /// When connections without a request in progress are closed.
    time_ms close_idle_after{};
    /// When the process stops accepting connections.
    time_ms stop_accepting_after{};
    /// When incomplete responses are aborted and the process ends.
    time_ms end_after{};

    /// Whether a request that takes `duration` may be sent to a server at `age`, counted from the
    /// stop signal. One that has waited for its body or for tokens is not sent if the end of the
    /// process would cut it: its caller could not tell whether it has run.
    [[nodiscard]] bool may_send(time_ms age, time_ms duration) const;

    friend bool operator==(const stop_sequence&, const stop_sequence&) = default;
};

/// Plans the steps so that the process ends before `limit`, when the platform would kill it.
stop_sequence plan_stop(time_ms limit, time_ms address_ttl);

/// A stop in progress.
struct stop_in_progress {
    time_ms began_at{};
    stop_sequence plan;

    [[nodiscard]] bool may_send(time_ms now, time_ms duration) const
    {
        return plan.may_send(now - began_at, duration);
    }

    friend bool operator==(const stop_in_progress&, const stop_in_progress&) = default;
};

} // namespace jujubevalve
