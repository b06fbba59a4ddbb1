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

/// A slot of a server set that an admitted request holds.
struct pool_slot {
    std::string server_set;
    std::uint64_t id{0};
};

/// Choice of backend servers and admission for all server sets of the configuration. Safe to use
/// from any thread.
class server_pools
{
public:
    server_pools(backend_client& backends, counters& counts);

    /// Takes over the server lists of a configuration.
    void set_config(const config_snapshot& config);

    /// Names that the platform's list says are leaving.
    void set_listed_leaving(const std::set<std::string>& names);

    /// Waits for a slot up to `wait`. Fails with `overloaded`; `retry_after` is then set.
    result<pool_slot> admit(const std::string& server_set, const std::string& account,
                            token_count cost, int priority, time_ms wait, time_ms& retry_after);

    /// Gives a slot back.
    void release(const pool_slot& slot);

    /// Chooses a server and counts the request as in flight there; call `finished` afterwards.
    result<backend_choice> choose(const std::string& server_set, const backend_query& query);
    void finished(const std::string& server_set, const std::string& server,
                  backend_selector::ending how);

    /// Fetches the load reports of up to 32 servers; others have their turn in later rounds.
    void poll_load();

    /// Takes over the number of live instances and refuses requests that waited too long.
    void tick(std::int64_t live_instances);

    /// Address of a server by its name, in any pool.
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
        failure why;
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
