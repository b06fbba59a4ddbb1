#pragma once

#include "backend/backend_client.h"
#include "router/budget_service.h"
#include "router/server_pools.h"

#include <mutex>
#include <vector>

namespace jujubevalve
{

/// Tracks runs whose stream was lost before their usage was reported. Each reservation is kept
/// until the backend server has answered a cancel request, so that spend is neither missed nor
/// counted twice.
class unresolved_runs
{
public:
    unresolved_runs(backend_client& backends, server_pools& pools, budget_service& budgets,
                    counters& counts, time_ms max_unresolved_time);

    /// Adds a lost run with its ticket and its request key at the backend server.
    void add(const spend_ticket& ticket, const std::string& key);

    /// Sends the cancel requests again. A run that has not been resolved within the time limit is
    /// charged its full reservation.
    void resolve();

    [[nodiscard]] std::size_t size() const;

private:
    struct lost_run {
        spend_ticket ticket;
        std::string key;
        time_ms lost_at{};
    };

    bool resolve(const lost_run& run);

    backend_client& backends_;
    server_pools& pools_;
    budget_service& budgets_;
    counters& counts_;
    time_ms max_unresolved_time_;
    steady_clock_ms clock_;
    mutable std::mutex mutex_;
    std::vector<lost_run> runs_;
};

} // namespace jujubevalve
