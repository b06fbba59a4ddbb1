#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "dispatch/fleet_retry_budget.h"

#include <string>

namespace jujubevalve
{

/// Settings of a gateway process, checked.
struct gateway_settings {
    std::string instance;
    std::string failure_domain;
    std::string listen;           ///< for callers
    std::string readiness_listen; ///< for the platform's readiness question
    std::string directory_listen; ///< for callers that ask for addresses; empty: not served
    std::string metrics_listen;   ///< empty: no metrics
    std::string store;
    std::string relay_listen; ///< for instances that are cut off from the store; empty: none
    time_ms address_ttl{};    ///< how long callers may keep addresses
    time_ms stop_limit{};     ///< time between the request to stop and the process's end
    fleet_retry_limit retry_limit;
    std::int64_t capacity{};     ///< requests per second that this machine can carry
    double store_writes_per_s{}; ///< that the store takes from the whole fleet
    time_ms grant_horizon{};     ///< demand that a grant covers at least

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

/// Reads flags from the environment, the settings file (a gflags flag file) and the command line,
/// and checks them. Prints every error and exits 2 if there is one.
gateway_settings read_gateway_settings(int& argc, char** argv);

/// Reads the settings file again. Fails with `invalid_setting`; the old settings stay then.
result<gateway_settings> reload_gateway_settings();

} // namespace jujubevalve
