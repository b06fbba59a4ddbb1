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

/// What may be repeated of a call.
enum class call_kind {
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once
    stream,         ///< a series of events; as non-idempotent unless it may be resumed
};

/// A service that a route sends calls to, with its share.
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
    time_ms timeout{};   ///< longest time a caller is kept waiting
    time_ms objective{}; ///< time to the answer, of a stream to its first event
    int priority{0};     ///< 0 is the most urgent
    std::vector<weighted_service> services;
    int max_attempts{1};   ///< servers that one call may be sent to
    bool is_public{false}; ///< needs no key
    bool resumable{false}; ///< a stream that may go on at another server
    time_ms event_gap{};   ///< longest pause between events that is still on time

    /// Whether a call may be sent again after it may have run.
    [[nodiscard]] bool may_rerun() const
    {
        return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
    }
    friend bool operator==(const call_route&, const call_route&) = default;
};

/// Batching and memory of a model engine.
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
    std::int64_t max_connections{0}; ///< of one server, from all callers together; 0: unknown
    std::optional<engine_options> engine;

    friend bool operator==(const service_options&, const service_options&) = default;
};

/// Bounds on what a caller may send, and how long it may take.
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
    std::optional<int> priority;        ///< goes before the route's
    std::optional<token_count> prepaid; ///< tokens it may consume; no limit if absent

    friend bool operator==(const client_account&, const client_account&) = default;
};

/// What one version of the configuration consists of.
struct fleet_config_content {
    std::int64_t version{0};
    std::vector<call_route> routes;
    std::vector<service_options> services;
    caller_limits limits;
    std::optional<std::vector<client_account>> accounts; ///< absent: calls need no key

    friend bool operator==(const fleet_config_content&, const fleet_config_content&) = default;
};

/// An immutable version of the configuration with its look-ups.
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

    /// The route of the host whose prefix is the longest that begins the path; null if none does.
    [[nodiscard]] const call_route* find_route(std::string_view host, std::string_view path) const;

    /// The account that holds the key; null if none does.
    [[nodiscard]] const client_account* find_account(std::string_view key) const;

    /// Options of a service; null if it is not listed.
    [[nodiscard]] const service_options* find_service(std::string_view name) const;

private:
    fleet_config_content content_;
    std::unordered_map<std::string, std::vector<const call_route*>> by_host_; ///< longest first
    std::unordered_map<std::string, const client_account*> by_key_;
    std::map<std::string, const service_options*, std::less<>> by_service_;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

} // namespace jujubevalve
