#pragma once

#include "backend/backend_client.h"
#include "config/config.h"
#include "core/core.h"
#include "router/rotation.h"
#include "routing/routing.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubevalve
{

/// An admission slot of a server set, held by an admitted request.
struct pool_slot {
    std::string server_set;
    std::uint64_t id{0};
};

/// Admission control and backend server selection for all server sets of the configuration.
/// Thread-safe.
class server_pools
{
public:
    server_pools(backend_client& backends, counters& counts);

    /// Applies the server lists of a configuration.
    void set_config(const config_snapshot& config);

    /// Sets the names that the platform's instance list shows as leaving; servers with these names
    /// are treated as leaving.
    void set_listed_leaving(const std::set<std::string>& names);

    /// Waits up to `wait` for a slot. Sets `retry_after` when the request is refused, and fails
    /// with `overloaded` if no slot became free.
    result<pool_slot> admit(const std::string& server_set, const std::string& account,
                            token_count cost, int priority, time_ms wait, time_ms& retry_after);

    /// Returns a slot.
    void release(const pool_slot& slot);

    /// Selects a server and counts the request as in flight there, until `finished` is called.
    result<backend_choice> choose(const std::string& server_set, const backend_query& query);
    void finished(const std::string& server_set, const std::string& server,
                  backend_selector::ending how);

    /// Fetches the load reports of up to 32 servers, in round-robin order over the calls.
    void poll_load();

    /// Updates the share of slots for the number of live instances and refuses requests that have
    /// waited too long.
    void tick(std::int64_t live_instances);

    /// Returns the address of a server in any pool; empty if unknown.
    [[nodiscard]] std::optional<std::string> address_of(const std::string& server) const;

private:
    struct server_group {
        server_group(std::uint64_t seed, const admission_options& options)
            : selector{seed}
            , queue{options}
        {
        }
        backend_selector selector;
        admission_queue queue;
    };
    enum class wait_state { waiting, admitted, refused };

    struct waiting_request {
        wait_state state{wait_state::waiting};
        failure error;
        time_ms retry_after{};
    };

    void apply(const admission_change& change);
    [[nodiscard]] server_group* find(const std::string& server_set);

    backend_client& backends_;
    counters& counts_;
    steady_clock_ms clock_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, server_group, std::less<>> groups_;
    rotation::entries addresses_;
    rotation load_poll_rotation_;
    std::map<std::uint64_t, waiting_request> waiting_;
    std::set<std::string> listed_leaving_;
    std::uint64_t last_id_{0};
};

} // namespace jujubevalve
