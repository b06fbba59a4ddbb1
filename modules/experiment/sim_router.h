#pragma once

#include "config/config.h"
#include "experiment/messages.h"
#include "experiment/sim_budget.h"
#include "experiment/sim_recovery.h"
#include "experiment/sim_requests.h"
#include "requests/requests.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve::experiment
{

class world;

/// Returns the instance name within an incarnation name.
std::string instance_of(const std::string& incarnation);

/// State of another instance as last received. Every reachable instance sends it once a second; the
/// bounded gossip of the real process is tested in the membership module.
struct peer_view {
    std::string incarnation;
    std::string domain;
    time_ms last_seen{};
    bool draining{false};
    std::int64_t config_version{0};
    std::map<std::string, token_count> available; ///< by budget
};

/// One incarnation of a router process: its decision classes, its view of its peers and its timers.
class sim_router
{
public:
    sim_router(world& sim, std::string instance, std::string incarnation, std::string domain);

    [[nodiscard]] const std::string& instance() const { return instance_; }
    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }
    [[nodiscard]] const std::string& domain() const { return domain_; }
    [[nodiscard]] bool is_alive() const { return alive_; }
    [[nodiscard]] bool is_paused() const { return paused_; }
    [[nodiscard]] bool is_draining() const { return draining_; }

    /// Registers the process, loads its configuration and starts its timers.
    void start();

    /// Runs an action now, or on resume while the process is paused. Drops it if the process has
    /// terminated.
    void run(const std::function<void()>& action);
    /// Calls `run` after a delay.
    void after(time_ms delay, const std::function<void()>& action);

    void kill();
    void pause() { paused_ = true; }
    void resume();
    /// Begins to drain, as on SIGTERM.
    void drain();

    /// Returns the addresses for a caller, those in its failure domain first. Includes this
    /// instance unless it is draining.
    [[nodiscard]] std::vector<std::string> addresses(const std::string& caller_domain);
    /// Returns an issued key prefix for the account.
    [[nodiscard]] std::string key_prefix_for(const std::string& account) const;
    /// Returns instances that a refused caller may try; one with available budget first.
    [[nodiscard]] std::vector<std::string> alternatives(const std::string& budget);
    /// Returns the unsuspected peer that reported the most available tokens of a budget; empty if
    /// none did.
    [[nodiscard]] std::string richest_peer(const std::string& budget) const;
    [[nodiscard]] std::int64_t live_instances() const;
    /// Returns the state of an incarnation, for key_home.
    [[nodiscard]] incarnation_info find(const std::string& incarnation) const;

    /// Returns the incarnation that last reported from an instance, or an empty string.
    [[nodiscard]] std::string incarnation_at(const std::string& instance) const;

    /// Updates the view of a peer.
    void update_peer(const std::string& instance, const peer_view& view);
    [[nodiscard]] const std::map<std::string, instance_row>& instance_rows() const
    {
        return instance_rows_;
    }
    [[nodiscard]] const config_history& config() const { return config_; }

    [[nodiscard]] sim_budget& budgets() { return budgets_; }
    [[nodiscard]] sim_requests& requests() { return requests_; }

private:
    void tick();
    void announce();
    void poll_platform();
    void poll_config();
    void adopt(const std::vector<config_log_entry>& entries);
    void pull_config_from_peer();
    void poll_rows();
    void load_final_records(const instance_row& row);
    void poll_list();
    void reclaim_expired_grants();
    void reclaim(const std::string& incarnation);
    void leave();
    void mark_drained();
    void exit();
    [[nodiscard]] bool is_suspected(const peer_view& peer) const;
    [[nodiscard]] instance_row own_row() const;

    world& sim_;
    std::string instance_;
    std::string incarnation_;
    std::string domain_;
    time_ms started_{};
    bool alive_{true};
    bool paused_{false};
    bool draining_{false};
    bool registered_{false};
    std::int64_t ticks_{0};
    std::uint64_t rotation_{0};
    std::vector<std::function<void()>> deferred_;
    std::map<std::string, peer_view> peers_; ///< by instance
    std::map<std::string, instance_row> instance_rows_;
    std::map<std::string, std::shared_ptr<const final_records>> final_records_;
    config_history config_;
    sim_budget budgets_;
    sim_requests requests_;
    sim_recovery recovery_;
};

} // namespace jujubevalve::experiment
