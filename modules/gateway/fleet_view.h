#pragma once

#include "dispatch/fleet_config.h"
#include "dispatch/instance_registry.h"
#include "dispatch/server_directory.h"
#include "dispatch/store_route.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_digest_service.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/table_follower.h"
#include "gateway/unreadable_inputs.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <string>

namespace jujubevalve
{

/// This process's view of the configuration, the backend servers and the other instances, kept up
/// to date from the store. Also publishes this instance's heartbeat there. A configuration version
/// is never replaced by an older one.
class fleet_view
{
public:
    fleet_view(event_loop& loop, store_client& store, decision_log& log, gateway_metrics& metrics,
               const gateway_settings& settings, std::string incarnation);

    /// Starts following the store's tables and publishing heartbeats.
    void start();

    /// Reads everything again: the store has lost rows, and gives out versions again. What is in
    /// force stays so until the store shows something newer.
    void begin_store_era();

    /// Called with each configuration that takes effect.
    std::function<void(const fleet_config_ptr&)> on_config;

    /// Called when the store becomes unreachable or reachable again.
    std::function<void(bool reachable)> on_reachable;
    /// Called when the evacuation of a failure domain has ended.
    std::function<void(const std::string& domain)> on_evacuation_ended;
    /// Returns the requests per second that arrive at this instance.
    std::function<std::int64_t()> own_request_rate;
    /// Returns this instance's token demand for its heartbeat.
    std::function<account_demand()> own_demand;
    /// Returns the accounts for which this instance is short of tokens.
    std::function<std::vector<std::string>()> own_shortages;
    /// Called with each account for which another instance is short of tokens.
    std::function<void(const std::string& account)> on_shortage_elsewhere;

    /// Returns the current configuration; null before the first.
    [[nodiscard]] const fleet_config_ptr& config() const { return config_; }
    [[nodiscard]] server_directory& servers() { return servers_; }

    /// Returns whether the configuration and the server list have been received.
    [[nodiscard]] bool is_complete() const { return config_ && server_rows_.is_listed(); }

    /// Returns whether the store responds, directly or through another instance's relay.
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    /// Returns whether the store responds without a relay.
    [[nodiscard]] bool is_directly_reachable() const { return reachable_ && route_.is_direct(); }

    /// Returns the addresses of instances that callers may use.
    [[nodiscard]] std::vector<std::string> caller_addresses() const;
    [[nodiscard]] instance_counts counts() const;
    [[nodiscard]] std::vector<home_candidate> home_candidates() const;
    /// Returns the other instances that take notices, as far as they are known.
    [[nodiscard]] std::vector<notice_peer> notice_peers() const;
    /// Returns the names of the instances in the address list.
    [[nodiscard]] std::vector<std::string> listed_instances() const;
    /// Returns whether this instance is among the notice_peers of others.
    [[nodiscard]] bool is_known_to_others() const;
    /// Returns whether all other instances that can see this one still count it as live, and this
    /// one knows them.
    [[nodiscard]] bool is_counted_by_others() const;
    /// Returns whether an incarnation of another instance is live; true while the store is
    /// unreachable.
    [[nodiscard]] bool is_live(const std::string& incarnation) const;
    /// Returns whether the heartbeats of the other instances have been read.
    [[nodiscard]] bool knows_instances() const { return heartbeats_listed_at_.has_value(); }
    /// Returns whether the other instances have had time to publish their heartbeats.
    [[nodiscard]] bool is_settled() const;
    [[nodiscard]] account_demand demand_elsewhere() const;

    /// Sets whether this instance accepts new callers. Publishes a heartbeat if it changes.
    void set_serving(bool serving);

    /// Deletes this instance's heartbeat row at an orderly shutdown, then calls `done`.
    void withdraw(std::function<void()> done);

private:
    /// Applies a full listing of the operator's table, or changes of it.
    void replace_operator_rows(const std::vector<stored_row>& rows);
    void update_operator_rows(const std::vector<stored_row>& rows);
    void apply_config(const stored_row& stored);
    void apply_evacuations(const evacuations::changes& changed);
    /// Returns the failure domain that the row evacuates. Nothing if the row is of another kind, or
    /// names no domain, which is logged.
    std::optional<std::string> evacuated_domain(const stored_row& stored);
    void replace_servers(const std::vector<stored_row>& rows);
    void update_servers(const std::vector<stored_row>& rows);
    /// Decodes a row of the server registry. Fails also if the row is deleted.
    [[nodiscard]] result<server_entry> read_server(const stored_row& stored);
    void apply_heartbeats(const std::vector<stored_row>& rows);
    void apply_digest_server(const std::string& id, const std::optional<std::string>& content);
    void apply_digest();
    void choose_source();
    void use_digest();
    void use_heartbeats();
    void publish_digest();
    [[nodiscard]] std::optional<std::size_t> own_publisher_rank() const;
    [[nodiscard]] bool is_digest_usable() const;
    /// Returns the store time up to which servers and heartbeats have been read.
    [[nodiscard]] time_ms sources_read_at() const;
    void update_reachability(bool reachable);
    void probe_routes();
    void switch_route();
    void tick();
    void publish_heartbeat();

    event_loop& loop_;
    store_client& store_;
    decision_log& log_;
    gateway_metrics& metrics_;
    unreadable_inputs unreadable_;
    instance_heartbeat own_heartbeat_;
    fleet_config_ptr config_;
    server_directory servers_;
    instance_registry instances_;
    table_follower operator_rows_;
    table_follower server_rows_;
    table_follower heartbeat_rows_;
    fleet_digest_service digest_;
    std::int64_t digest_min_instances_;
    bool uses_digest_{false};
    bool used_digest_before_{false};
    time_ms digest_fresh_at_{}; ///< when the digest was last seen to be fresh
    time_ms digest_stale_at_{}; ///< when it was last seen not to be
    time_ms reachable_since_{};
    time_ms last_stamp_{}; ///< of the digest status that was applied last
    store_route route_;
    bool reachable_{false};
    bool heartbeat_in_flight_{false};
    bool publish_again_{false};
    std::optional<time_ms> heartbeats_listed_at_;
    time_ms next_heartbeat_{};
    std::optional<time_ms> confirmed_heartbeat_at_; ///< when the last one that was stored was sent
};

} // namespace jujubevalve
