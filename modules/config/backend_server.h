#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jujubevalve
{

/// A backend server of a pool, as listed in the pools table.
struct backend_server {
    std::string name;
    std::string address;        ///< `ip:port` of its HTTP service
    std::string failure_domain; ///< the failure domain in which it runs
    std::int64_t slots{1};      ///< max requests that it runs concurrently
    bool leaving{false};        ///< if true, it gets no new requests

    friend auto operator<=>(const backend_server&, const backend_server&) = default;
};

} // namespace jujubevalve
