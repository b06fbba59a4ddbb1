#pragma once

#include "backend/backend_client.h"
#include "peer/peer.h"
#include "recovery/recovery.h"
#include "router/config_service.h"
#include "router/instance_directory.h"
#include "router/router_settings.h"
#include "router/server_pools.h"
#include "storage/http_platform.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace jujubevalve
{

/// Reclaims the grants of incarnations that are proven to have terminated. Several routers may do
/// so concurrently, because all steps are conditional transactions. Thread-safe.
class recovery_service
{
public:
    recovery_service(const instance_row& own, const router_settings& settings,
                     http_platform& platform, peer_client& peers, backend_client& backends,
                     server_pools& pools, config_service& config, instance_directory& directory,
                     counters& counts);

    /// Records a read of the platform's instance list, with the times of request and response.
    void list_read(const std::vector<std::string>& names, time_ms requested_at,
                   time_ms received_at);

    /// Evaluates the termination proof and runs the recovery until it is complete or blocked.
    void run();

private:
    void update_watched_incarnations();
    [[nodiscard]] std::set<std::string> terminated_incarnations();
    void run_plan();
    [[nodiscard]] recovery_settings make_settings() const;
    recovery_answer execute(const recovery_command& command);
    recovery_answer execute(const read_rows& step);
    recovery_answer execute(const scan_rows& step);
    recovery_answer execute(const list_objects& step);
    recovery_answer execute(const get_object& step);
    recovery_answer execute(const put_object& step);
    recovery_answer execute(const cancel_key& step);
    recovery_answer execute(const query_peer& step);
    recovery_answer execute(const commit_rows& step);

    instance_row own_;
    const router_settings& settings_;
    http_platform& platform_;
    peer_client& peers_;
    backend_client& backends_;
    server_pools& pools_;
    config_service& config_;
    instance_directory& directory_;
    counters& counts_;
    steady_clock_ms clock_;
    std::mutex evidence_mutex_;
    termination_proof evidence_;
    std::set<std::string> watched_;
    std::mutex plan_mutex_;
    std::set<std::string> incarnations_;
    std::unique_ptr<recovery_plan> plan_;
};

} // namespace jujubevalve
