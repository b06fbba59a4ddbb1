#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// What a backend server says about its load. It lags behind the truth by `age`.
struct load_report {
    std::int64_t running{0};
    std::int64_t queued{0};
    std::int64_t slots{1};
    bool leaving{false};
    time_ms age{0}; ///< how old the figures were when the server answered

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace jujubevalve
