#pragma once

#include "core/counters.h"
#include "core/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubevalve
{

/// What both ends of the peer protocol need to know. Counters are named `peer_*`.
struct peer_options {
    std::string secret;      ///< of the fleet; never logged
    std::int64_t term{0};    ///< another term is refused with peer_term_mismatch
    std::string incarnation; ///< of this process
    std::size_t max_frame_bytes{4 * 1024 * 1024};
    time_ms hello_timeout{2000};

    // Server only.
    std::string address{"127.0.0.1:0"}; ///< ip:port to listen on; port 0 takes a free one
    unsigned workers{4};                ///< threads that run handlers
    std::size_t max_connections{2000};
    std::size_t max_queued_calls{1000}; ///< a connection whose call does not fit is closed
    time_ms idle_timeout{600'000};      ///< a connection without a frame for so long is closed
};

} // namespace jujubevalve
