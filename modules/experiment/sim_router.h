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

/// The instance part of an incarnation's name.
std::string instance_of(const std::string& incarnation);

/// What a router knows of another instance. Heard once a second from everybody that is reachable;
/// the bounded gossip of the membership module is tested there.
struct peer_view {
    std::string incarnation;
    std::string domain;
    time_ms heard{};
    bool draining{false};
    std::int64_t config_version{0};
    std::map<std::string, token_count> available; ///< by budget
};

/// One run of a router process: the decision classes, its view of the others and its timers.
class sim_router
{
public:
    sim_router(world& all, std::string instance, std::string incarnation, std::string domain);

    [[nodiscard]] const std::string& instance() const { return instance_; }
    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }
    [[nodiscard]] const std::string& domain() const { return domain_; }
    [[nodiscard]] bool is_alive() const { return alive_; }
    [[nodiscard]] bool is_paused() const { return paused_; }
    [[nodiscard]] bool is_draining() const { return draining_; }

    /// Registers the process, loads the configuration and starts the timers.
    void start();

    /// Runs an action now, after the pause, or never if the process is dead.
    void run(const std::function<void()>& action);
    void after(time_ms delay, const std::function<void()>& action);

    void kill();
    void pause() { paused_ = true; }
    void resume();
    /// SIGTERM.
    void drain();

    /// Addresses for a caller, nearest first; this instance is included.
    [[nodiscard]] std::vector<std::string> addresses(const std::string& near);
    /// A key prefix for the account.
    [[nodiscard]] std::string key_prefix_for(const std::string& account) const;
    /// Instances where a refused caller may try; one with available budget first.
    [[nodiscard]] std::vector<std::string> alternatives(const std::string& budget);
    /// The instance that is said to have the most of a budget; empty if none is known.
    [[nodiscard]] std::string holder_of(const std::string& budget) const;
    [[nodiscard]] std::int64_t live_instances() const;
    /// State of an incarnation, for key_home.
    [[nodiscard]] incarnation_info find(const std::string& incarnation) const;

    /// The incarnation last heard of at an instance, or an empty text.
    [[nodiscard]] std::string running_at(const std::string& instance) const;

    void hear(const std::string& instance, const peer_view& seen);
    [[nodiscard]] const std::map<std::string, instance_row>& rows() const { return rows_; }
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
    void load_records(const instance_row& row);
    void poll_list();
    void reclaim_expired();
    void reclaim(const std::string& incarnation);
    void leave();
    void mark_drained();
    void exit();
    [[nodiscard]] bool is_suspected(const peer_view& peer) const;
    [[nodiscard]] instance_row own_row() const;

    world& all_;
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
    std::map<std::string, instance_row> rows_;
    std::map<std::string, std::shared_ptr<const final_records>> records_;
    config_history config_;
    sim_budget budgets_;
    sim_requests requests_;
    sim_recovery recovery_;
};

} // namespace jujubevalve::experiment
