#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// Registration of a backend server, as the server wrote it.
struct server_entry {
    std::string id;
    std::string service;
    std::string address; ///< ip:port
    std::string failure_domain;
    std::int64_t slots{1};
    bool leaving{false};         ///< drains: takes no new requests
    time_ms cold_until{};        ///< end of its warm-up, by the store's time; 0: it is warm
    std::int64_t incarnation{0}; ///< changes when the server restarts; 0 if unknown
    std::int64_t sequence{0};    ///< rises with each registration of an incarnation; 0 if unknown

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

} // namespace jujubevalve
