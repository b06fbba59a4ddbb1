#pragma once

#include "core/core.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// Start-up settings of a router.
struct router_settings {
    std::string instance;                   ///< name of this instance
    std::string failure_domain;             ///< failure domain of this instance
    std::string region;                     ///< region of this instance
    std::string listen{"127.0.0.1:0"};      ///< caller API
    std::string peer_listen{"127.0.0.1:0"}; ///< peer protocol
    std::string advertise;                  ///< address reported to callers; empty: the bound one
    std::string peer_advertise;             ///< address reported to peers; empty: the bound one
    std::vector<std::string> seeds;         ///< peer addresses to contact at start
    std::string platform;                   ///< ip:port of the platform's services
    std::string platform_credential;
    std::string fleet_secret; ///< shared by all instances; authenticates peers and signs keys
    std::int64_t term{1};

    std::size_t max_request_bytes{4'194'304};
    std::int64_t max_connections{2000};
    time_ms settle_interval{2000};
    time_ms config_poll_interval{2000};
    time_ms gossip_interval{1000};
    time_ms load_interval{500};
    time_ms instance_list_interval{1000};
    time_ms instance_list_lag{10'000};   ///< max staleness of the platform's instance list
    time_ms grant_horizon{minutes(70)};  ///< period whose expected demand a grant covers
    time_ms admission_wait{2000};        ///< max wait for an admission slot
    time_ms budget_wait{1500};           ///< max wait for a grant refill
    time_ms engine_idle_timeout{3000};   ///< an idle stream is resumed on a new connection
    time_ms request_timeout{minutes(5)}; ///< max duration of one request
    time_ms peer_timeout{2000};
    time_ms caller_idle_timeout{30'000};
    time_ms stopping_grace{2000}; ///< min delay from announcing a drain to closing the listener
    time_ms recovery_records{600'000}; ///< min age of engine records to prove that no run occurred
    std::string policy{"demand-driven"};
};

/// Validates all settings. Errors state the flag, the value and the allowed range.
void check(const router_settings& settings, settings_check& errors);

} // namespace jujubevalve
