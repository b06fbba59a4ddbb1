#pragma once

#include "recovery/recovery.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

class sim_router;
class world;

/// Termination proof and recovery in one simulated router, composed as in `recovery_service`.
class sim_recovery
{
public:
    sim_recovery(world& sim, sim_router& router);

    /// Watches the incarnations in the instance rows; starts or continues the recovery of those
    /// that are proved to have terminated.
    void run();

    /// Processes a complete read of the platform's instance list.
    void list_read(const std::vector<std::string>& instances, time_ms requested_at);

private:
    void watch_rows();
    void query_successors();
    void run_steps();
    [[nodiscard]] recovery_settings make_settings() const;
    [[nodiscard]] recovery_answer execute(const read_rows& step);
    [[nodiscard]] recovery_answer execute(const scan_rows& step);
    [[nodiscard]] recovery_answer execute(const list_objects& step);
    [[nodiscard]] recovery_answer execute(const get_object& step);
    [[nodiscard]] recovery_answer execute(const put_object& step);
    [[nodiscard]] recovery_answer execute(const cancel_key& step);
    [[nodiscard]] recovery_answer execute(const query_peer& step);
    [[nodiscard]] recovery_answer execute(const commit_rows& step);

    world& sim_;
    sim_router& router_;
    termination_proof evidence_;
    std::set<std::string> watched_;
    std::set<std::string> recovering_;
    std::unique_ptr<recovery_plan> plan_;
    bool running_{false};
};

} // namespace jujubevalve::experiment
