#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// Load that a backend server reports.
struct load_report {
    std::int64_t running{0}; ///< requests in execution
    std::int64_t waiting{0}; ///< requests in its queue
    bool leaving{false};     ///< takes no new requests
    time_ms measured_at{};   ///< time of measurement on this router's steady clock

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace jujubevalve
