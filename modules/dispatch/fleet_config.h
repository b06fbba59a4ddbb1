#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubevalve
{

/// Whether a call may be retried after it may have run.
enum class call_kind {
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once
    stream,         ///< a response of events; runs at most once unless resumable
};

/// A service that a route sends calls to, with its relative weight.
struct weighted_service {
    std::string service;
    std::int64_t weight{1};

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// One row of the routes table.
struct call_route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    call_kind kind{call_kind::non_idempotent};
    time_ms timeout{};   ///< max time that a caller is kept waiting
    time_ms objective{}; ///< target latency: until the response, or a stream's first event
    int priority{0};     ///< 0 is the most urgent
    std::vector<weighted_service> services;
    int max_attempts{1};   ///< max servers that one call is sent to
    bool is_public{false}; ///< needs no key
    bool resumable{false}; ///< a stream that may be continued at another server
    time_ms event_gap{};   ///< target max time between events; 0: none

    /// Returns whether a call may be sent again after it may have run.
    [[nodiscard]] bool may_rerun() const
    {
        return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
    }
    friend bool operator==(const call_route&, const call_route&) = default;
};

/// Batch size and cache memory of a model engine.
struct engine_options {
    std::int64_t slots{1};
    token_count memory_tokens{0};
    token_count tokens_per_event{1};

    friend bool operator==(const engine_options&, const engine_options&) = default;
};

/// A pool of backend servers.
struct service_options {
    std::string name;
    std::string health_path;
    std::int64_t max_connections{0}; ///< to one server, from all clients together; 0: unknown
    std::optional<engine_options> engine;
    time_ms warm_up{};                        ///< time for which a server is cold after its start
    std::int64_t warm_up_limit_per_1000_s{0}; ///< requests that a cold server bears; 0: unlimited

    friend bool operator==(const service_options&, const service_options&) = default;
};

/// Limits on the size of a caller's request, and timeouts for sending it.
struct caller_limits {
    std::size_t max_head_bytes{16 * 1024};
    std::size_t max_body_bytes{4 * 1024 * 1024};
    time_ms head_timeout{3000};
    time_ms idle_timeout{15000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// A client account with its keys.
struct client_account {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;        ///< overrides the route's
    std::optional<token_count> prepaid; ///< tokens it may use in total; unlimited if absent

    friend bool operator==(const client_account&, const client_account&) = default;
};

/// Content of one version of the configuration.
struct fleet_config_content {
    std::int64_t version{0};
    std::vector<call_route> routes;
    std::vector<service_options> services;
    caller_limits limits;
    std::optional<std::vector<client_account>> accounts; ///< if absent, calls need no key

    friend bool operator==(const fleet_config_content&, const fleet_config_content&) = default;
};

/// Returns the name that a Host header or a route's host stands for: in lower case, as host names
/// are case-insensitive, and without a port.
[[nodiscard]] std::string host_name(std::string_view host);

/// An immutable version of the configuration, indexed for lookups.
class fleet_config
{
public:
    explicit fleet_config(fleet_config_content content);
    ~fleet_config() = default;
    fleet_config(const fleet_config&) = delete;
    fleet_config& operator=(const fleet_config&) = delete;

    [[nodiscard]] std::int64_t version() const { return content_.version; }
    [[nodiscard]] const fleet_config_content& content() const { return content_; }
    [[nodiscard]] const caller_limits& limits() const { return content_.limits; }
    [[nodiscard]] bool needs_keys() const { return content_.accounts.has_value(); }

    /// Returns the host's route with the longest prefix that matches the path; null if none does.
    [[nodiscard]] const call_route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the account that the key belongs to; null if there is none.
    [[nodiscard]] const client_account* find_account(std::string_view key) const;

    /// Returns the options of a service; null if it is not configured.
    [[nodiscard]] const service_options* find_service(std::string_view name) const;

private:
    fleet_config_content content_;
    /// Sorted by descending length of the prefix.
    std::unordered_map<std::string, std::vector<const call_route*>> routes_by_host_;
    std::unordered_map<std::string, const client_account*> accounts_by_key_;
    std::map<std::string, const service_options*, std::less<>> services_by_name_;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

} // namespace jujubevalve
