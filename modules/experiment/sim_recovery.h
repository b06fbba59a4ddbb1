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

/// Evidence and recovery in one simulated router, composed as in `recovery_service`.
class sim_recovery
{
public:
    sim_recovery(world& all, sim_router& owner);

    /// Watches the incarnations of the instance rows; starts or continues a recovery.
    void run();

    /// A complete read of the platform's list.
    void list_read(const std::vector<std::string>& instances, time_ms asked_at);

private:
    void watch_rows();
    void ask_successors();
    void work();
    [[nodiscard]] recovery_settings make_settings() const;
    [[nodiscard]] recovery_answer carry_out(const read_rows& step);
    [[nodiscard]] recovery_answer carry_out(const scan_rows& step);
    [[nodiscard]] recovery_answer carry_out(const list_objects& step);
    [[nodiscard]] recovery_answer carry_out(const get_object& step);
    [[nodiscard]] recovery_answer carry_out(const put_object& step);
    [[nodiscard]] recovery_answer carry_out(const cancel_key& step);
    [[nodiscard]] recovery_answer carry_out(const ask_peer& step);
    [[nodiscard]] recovery_answer carry_out(const commit_rows& step);

    world& all_;
    sim_router& owner_;
    gone_evidence evidence_;
    std::set<std::string> watched_;
    std::set<std::string> members_;
    std::unique_ptr<recovery_plan> plan_;
    bool working_{false};
};

} // namespace jujubevalve::experiment
