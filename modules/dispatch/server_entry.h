#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// What a backend server has registered about itself.
struct server_entry {
    std::string id;
    std::string service;
    std::string address; ///< ip:port
    std::string failure_domain;
    std::int64_t slots{1};
    bool leaving{false};
    time_ms warm_up{};           ///< how much longer it stays slow after its start
    std::int64_t incarnation{0}; ///< changes when the server has started again; 0 if unknown

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

} // namespace jujubevalve
