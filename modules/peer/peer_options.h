#pragma once

#include "core/counters.h"
#include "core/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubevalve
{

/// Options of both ends of the peer protocol. Its counters are named `peer_*`.
struct peer_options {
    std::string secret;      ///< shared by the fleet; never logged
    std::int64_t term{0};    ///< peers with another term are refused with peer_term_mismatch
    std::string incarnation; ///< of this process
    std::size_t max_frame_bytes{4 * 1024 * 1024};
    time_ms hello_timeout{2000};

    // Server only.
    std::string address{"127.0.0.1:0"}; ///< ip:port to listen on; port 0 picks a free port
    unsigned workers{4};                ///< threads that run `forward` handlers
    std::size_t max_connections{2000};
    std::size_t max_queued_calls{1000}; ///< a call beyond this closes its connection
    time_ms idle_timeout{600'000};      ///< closes a connection that received no frame
};

} // namespace jujubevalve
