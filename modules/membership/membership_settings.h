#pragma once

#include "core/time_ms.h"

#include <cstddef>

namespace jujubevalve
{

/// Bounds of the gossip protocol. The defaults are those of docs/membership.md.
struct membership_settings {
    time_ms interval{1000};      ///< between two rounds of a small fleet
    std::size_t fan_out{2};      ///< peers asked in each round
    time_ms suspect_after{3000}; ///< without progress, in a fleet whose digests hold every entry
    /// A suspected entry is removed so long after its last progress: longer than the longest
    /// partition that must heal without seeds (one hour).
    time_ms forget_after{7'200'000};
    std::size_t max_heartbeats{16};
    std::size_t max_doubts{8};
    std::size_t max_details{16}; ///< in one digest; a detail takes about 130 bytes
    std::size_t max_wanted{16};
    std::size_t max_hints{4};
    std::size_t max_entries{2000};     ///< of the table; bounds its memory
    std::size_t max_hint_entries{512}; ///< hints held
    time_ms hint_lifetime{30'000};
};

} // namespace jujubevalve
