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

    friend bool operator==(const stop_sequence&, const stop_sequence&) = default;
};

/// Plans the steps so that the process ends before `limit`, when the platform would kill it.
stop_sequence plan_stop(time_ms limit, time_ms address_ttl);

} // namespace jujubevalve
