#pragma once

#include "dispatch/entry_list.h"
#include "dispatch/fleet_config.h"
#include "dispatch/server_directory.h"
#include "dispatch/store_route.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/table_follower.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <string>

namespace jujubevalve
{

/// What this process believes of the configuration, the servers and the other instances, kept up
/// to date from the store; and its own beat there. A configuration version is never followed by
/// an older one.
class fleet_view
{
public:
    fleet_view(event_loop& loop, store_client& store, decision_log& log, gateway_metrics& metrics,
               const gateway_settings& settings, std::string incarnation);

    /// Begins to read and to publish.
    void start();

    /// Called with each configuration that comes into force.
    std::function<void(const fleet_config_ptr&)> on_config;

    /// Told when the store is out of reach, and when it is back.
    std::function<void(bool reachable)> on_reachable;
    /// Asked for the requests per second that arrive here.
    std::function<std::int64_t()> own_request_rate;
    /// Asked for what the beat says of the own demand.
    std::function<account_demand()> own_demand;
    /// Asked for the accounts of which this instance lacks tokens.
    std::function<std::vector<std::string>()> own_shortages;
    /// Told of accounts of which other instances lack tokens.
    std::function<void(const std::string& account)> on_shortage_elsewhere;

    /// The configuration in force; null before the first.
    [[nodiscard]] const fleet_config_ptr& config() const { return config_; }
    [[nodiscard]] server_directory& servers() { return servers_; }

    /// Whether the configuration and the servers are known.
    [[nodiscard]] bool is_complete() const { return config_ && server_rows_.is_listed(); }

    /// Whether the store answers, straight or through another instance.
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    /// Whether it answers straight.
    [[nodiscard]] bool is_directly_reachable() const { return reachable_ && route_.is_straight(); }

    /// Addresses for callers.
    [[nodiscard]] std::vector<std::string> caller_addresses() const;
    [[nodiscard]] std::int64_t instance_count() const;
    [[nodiscard]] account_demand demand_elsewhere() const;

    /// Whether this instance takes new callers; published at once when it changes.
    void set_serving(bool serving);

    /// Publishes that this instance is gone, when the process ends in order.
    void withdraw(std::function<void()> done);

private:
    void apply_config(const std::vector<stored_row>& rows);
    void replace_servers(const std::vector<stored_row>& rows);
    void update_servers(const std::vector<stored_row>& rows);
    void apply_heartbeats(const std::vector<stored_row>& rows);
    void update_reachability(bool reachable);
    void probe_routes();
    void switch_route();
    void tick();
    void publish_heartbeat();

    event_loop& loop_;
    store_client& store_;
    decision_log& log_;
    gateway_metrics& metrics_;
    instance_beat own_heartbeat_;
    fleet_config_ptr config_;
    server_directory servers_;
    entry_list instances_;
    table_follower config_rows_;
    table_follower server_rows_;
    table_follower heartbeat_rows_;
    store_route route_;
    bool reachable_{false};
    bool heartbeat_in_flight_{false};
    bool publish_again_{false};
    time_ms next_heartbeat_{};
};

} // namespace jujubevalve
