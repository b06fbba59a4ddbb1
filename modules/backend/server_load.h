#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// What a backend server says about its load. It lags behind the truth by `age`.
struct server_load {
    std::int64_t running{0};
    std::int64_t queued{0};
    std::int64_t slots{1};
    bool leaving{false};
    time_ms age{0}; ///< how old the figures were when the server answered

    friend bool operator==(const server_load&, const server_load&) = default;
};

} // namespace jujubevalve
