#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// What a backend server says about itself.
struct load_report {
    std::int64_t running{0}; ///< requests being served
    std::int64_t waiting{0}; ///< requests in its queue
    bool leaving{false};     ///< takes no new requests
    time_ms taken_at{};      ///< when it was true, on this router's steady clock

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace jujubevalve
