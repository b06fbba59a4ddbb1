#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// Load report of a backend server. The figures are `age` old, so the actual load may differ.
struct server_load {
    std::int64_t running{0};
    std::int64_t queued{0};
    std::int64_t slots{1};
    bool leaving{false};
    time_ms age{0}; ///< of the figures when the server answered

    friend bool operator==(const server_load&, const server_load&) = default;
};

} // namespace jujubevalve
