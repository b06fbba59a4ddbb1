#pragma once

#include "core/time_ms.h"

#include <cstddef>

namespace jujubevalve
{

/// Intervals, timeouts and size limits of the gossip protocol. The defaults are those of
/// docs/membership.md.
struct membership_settings {
    time_ms interval{1000}; ///< between two rounds
    std::size_t fan_out{2}; ///< peers contacted in each round
    /// Min time without progress before an entry is suspected. The timeout grows with the fleet
    /// size (see `member_table::suspicion_timeout`).
    time_ms suspect_after{3000};
    /// Time without progress after which a suspected entry is removed. Longer than the longest
    /// partition that must heal without seeds (one hour).
    time_ms remove_after{7'200'000};
    std::size_t max_heartbeats{16};        ///< in one digest
    std::size_t max_unreachable{8};        ///< unreachability reports in one digest
    std::size_t max_details{16};           ///< in one digest; each takes about 130 bytes
    std::size_t max_requested_details{16}; ///< in one digest
    std::size_t max_hints{4};              ///< in one digest
    std::size_t max_entries{2000};         ///< of the table; bounds its memory
    std::size_t max_stored_hints{512};     ///< received hints that are kept
    time_ms hint_lifetime{30'000};
};

} // namespace jujubevalve
