#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "dispatch/fleet_retry_budget.h"

#include <string>

namespace jujubevalve
{

/// Validated settings of a gateway process.
struct gateway_settings {
    std::string instance;
    std::string failure_domain;
    std::string listen;           ///< ip:port for callers
    std::string readiness_listen; ///< ip:port for the platform's readiness probe
    std::string directory_listen; ///< ip:port that serves addresses to callers; empty: none
    std::string metrics_listen;   ///< ip:port that serves metrics; empty: none
    std::string store;            ///< ip:port of the platform's table store
    std::string relay_listen;     ///< ip:port for instances cut off from the store; empty: none
    std::string peer_listen;      ///< ip:port for reservations of other instances; empty: none
    std::string peer_advertise;   ///< ip:port at which other instances reach peer_listen
    time_ms address_ttl{};        ///< how long callers may cache addresses
    time_ms stop_limit{};         ///< max time from SIGTERM to the end of the process
    fleet_retry_limit retry_limit;
    std::int64_t capacity{};             ///< requests per second that this machine can handle
    double link_mbps{};                  ///< speed of this machine's link, in each direction
    double cpu_requests_per_s{};         ///< requests per second that its processor can handle
    double store_writes_per_s{};         ///< writes that the store accepts from the whole fleet
    time_ms grant_horizon{};             ///< min duration of demand that a grant covers
    double warm_up_overage{};            ///< requests in 1 s to a cold server, of those it bears
    std::int64_t digest_min_instances{}; ///< live instances from which on a digest is published

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

/// Reads flags from the environment, the settings file (a gflags flag file) and the command line,
/// and validates them. Prints all errors and exits with status 2 if there are any.
gateway_settings read_gateway_settings(int& argc, char** argv);

/// Reads the settings file again. On failure returns `invalid_setting`, and the caller keeps the
/// settings that it has.
result<gateway_settings> reload_gateway_settings();

} // namespace jujubevalve
