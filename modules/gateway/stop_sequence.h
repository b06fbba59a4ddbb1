#pragma once

#include "core/time_ms.h"

namespace jujubevalve
{

/// When a stopping process does what, counted from the request to stop. Callers keep addresses
/// for a while, so that new connections still come after the instance has left the list.
struct stop_sequence {
    /// Connections without a request are closed.
    time_ms close_idle_after{};
    /// No further connection is accepted.
    time_ms stop_accepting_after{};
    /// Answers that are still incomplete are broken off, and the process ends.
    time_ms end_after{};

    friend bool operator==(const stop_sequence&, const stop_sequence&) = default;
};

/// Plans the steps so that the process ends before `limit`, after which it would be killed.
stop_sequence plan_stop(time_ms limit, time_ms address_ttl);

} // namespace jujubevalve
