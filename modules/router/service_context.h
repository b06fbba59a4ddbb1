#pragma once

#include "backend/backend_client.h"
#include "requests/requests.h"
#include "router/budget_service.h"
#include "router/config_service.h"
#include "router/execution_table.h"
#include "router/instance_directory.h"
#include "router/membership_service.h"
#include "router/request_context.h"
#include "router/router_settings.h"
#include "router/server_pools.h"
#include "router/task_group.h"
#include "routing/routing.h"

#include <atomic>
#include <functional>

namespace jujubevalve
{

/// References to the router components used by the request services, which they outlive.
struct service_context {
    const router_settings& settings;
    const std::string& incarnation;
    config_service& config;
    membership_service& members;
    instance_directory& directory;
    budget_service& budgets;
    server_pools& pools;
    backend_client& backends;
    execution_table& executions;
    http_platform& platform;
    peer_client& peers;
    counters& counts;
    task_group& runs;
    std::atomic<bool>& draining;

    /// Requests tokens of a budget from a peer; returns whether any were received.
    std::function<bool(const std::string& budget, token_count tokens)> request_transfer;
};

/// Returns a refusal if this instance does not accept new requests now.
std::optional<refusal> check_accepting(const service_context& context);

/// Reserves tokens. Requests a transfer from a peer if neither this instance's grant nor a refill
/// from the platform suffices.
result<spend_ticket> reserve_tokens(const service_context& context, const std::string& budget,
                                    token_count tokens);

/// Converts a failure to a refusal with addresses where a retry may succeed.
refusal refuse_with_hint(const service_context& context, failure error,
                         const std::string& budget = {});

} // namespace jujubevalve
