#pragma once

#include "core/time_ms.h"
#include "storage/http_platform.h"

#include <functional>

namespace jujubevalve
{

/// What every command needs.
struct ctl_context {
    http_platform& platform;
    bool json{false};
    time_ms now{};                             ///< Unix time, for the audit trail
    std::function<void(int)> wait{[](int) {}}; ///< blocks before repetition n
    int attempts{10};                          ///< of a transaction, until the outcome is clear
};

} // namespace jujubevalve
