#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jujubevalve
{

/// One server of a pool, as the pools table lists it.
struct backend_server {
    std::string name;
    std::string address;        ///< ip:port of its HTTP service
    std::string failure_domain; ///< where it runs
    std::int64_t slots{1};      ///< requests that it runs at the same time
    bool leaving{false};        ///< takes no new requests

    friend auto operator<=>(const backend_server&, const backend_server&) = default;
};

} // namespace jujubevalve
