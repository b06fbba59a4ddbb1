#pragma once

#include "config/config.h"
#include "experiment/deployment.h"
#include "experiment/event_queue.h"
#include "experiment/invariant_checker.h"
#include "experiment/network.h"
#include "experiment/sim_router.h"
#include "experiment/sim_server.h"
#include "standins/memory_instance_list.h"
#include "standins/memory_object_store.h"
#include "standins/memory_table_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

/// Parameters of a run.
struct world_options {
    std::string policy{"demand-driven"};
    bool issued_keys{true};    ///< non-idempotent requests carry an issued key prefix
    double requests_per_ms{0}; ///< sum over all callers
    double plain_share{0.2};   ///< fraction of requests that go to the plain service
    double silent_share{0};    ///< fraction of backend connections that go silent
    double mixed_share{0}; ///< fraction of runs whose connection also receives another run's answer
    time_ms remaining_demand{}; ///< if not 0, only this much demand is left in the budgets
    bool trace{false};
};

/// The complete state of one simulation run: the virtual clock, the platform, the routers of all
/// incarnations, the backend servers and the invariant checker.
class world
{
public:
    world(deployment chosen, const world_options& chosen_options, std::uint64_t seed);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /// Starts a process on the instance. An earlier one must have terminated.
    sim_router& start_router(std::int64_t number);

    /// Returns the process that runs on the instance, or null.
    [[nodiscard]] sim_router* router_at(const std::string& instance) const;

    /// Returns the instance names.
    [[nodiscard]] const std::vector<std::string>& instances() const { return instances_; }

    /// Delivers a request to an instance. The reply is `not_delivered` if no process runs there.
    void deliver(const std::string& instance, const sim_request& request,
                 const reply_function& reply);

    /// Sends one message from router to router. It is dropped if the link is cut.
    void send(const std::string& from, const std::string& to,
              std::function<void(sim_router&)> receive);

    /// Calls one router from another. `done` receives an empty optional after `peer_timeout`
    /// without a response.
    template <class Reply>
    void call(sim_router& from, const std::string& to, std::function<Reply(sim_router&)> serve,
              std::function<void(std::optional<Reply>)> done)
    {
        const auto pending = std::make_shared<bool>(true);
        const auto end = [pending, done, &from](std::optional<Reply> reply) {
            if (std::exchange(*pending, false)) {
                from.run([done, reply] { done(reply); });
            }
        };
        events.after(peer_timeout, [end] { end(std::nullopt); });
        const auto name = from.instance();
        send(name, to, [this, name, to, serve, end](sim_router& peer) {
            const auto reply = serve(peer);
            events.after(link_delay, [this, name, to, reply, end] {
                if (links.linked(name, to)) {
                    end(reply);
                }
            });
        });
    }

    /// Calls the platform from a router. `done` receives `if_unreachable` if the call could not be
    /// sent, and `if_lost` if it took effect but its response was lost.
    template <class Result>
    void call_platform(sim_router& from, std::function<Result()> operation, Result if_unreachable,
                       Result if_lost, std::function<void(const Result&)> done)
    {
        const auto name = from.instance();
        events.after(platform_delay, [=, this, &from] {
            if (!links.reaches_platform(name)) {
                events.after(platform_timeout, [&from, done, if_unreachable] {
                    from.run([=] { done(if_unreachable); });
                });
                return;
            }
            const auto answer = operation();
            events.after(platform_delay, [=, this, &from] {
                const bool arrives = links.reaches_platform(name);
                from.run([=] { done(arrives ? answer : if_lost); });
            });
        });
    }

    /// Call the table service or the object store through `call_platform`.
    void read(sim_router& from, const std::vector<std::string>& keys,
              const std::function<void(const result<std::vector<table_row>>&)>& done);
    void commit(sim_router& from, const transaction& change,
                const std::function<void(const commit_result&)>& done);
    void put(sim_router& from, const std::string& name, const std::string& content,
             const std::function<void(const status&)>& done);

    /// Applies an operator's edit of the tables in `base`.
    void apply(const std::string& operator_name, const config_snapshot& base,
               const std::function<void(config_snapshot::pool_table&)>& edit);
    /// Returns the newest tables.
    [[nodiscard]] config_snapshot newest_config();

    /// Returns the free slots of the servers in a server set.
    [[nodiscard]] std::int64_t free_slots(const std::string& server_set) const;

    /// Runs the checks at the end of the run: compares the bill and the grants with what actually
    /// ran.
    void check_final_state();

    static constexpr time_ms link_delay{1};
    static constexpr time_ms platform_delay{2};
    static constexpr time_ms platform_timeout{1000};
    static constexpr time_ms peer_timeout{2000};
    static constexpr time_ms list_lag{10'000};

    deployment site;
    world_options options;
    std::uint64_t seed;
    std::mt19937_64 random;
    demand_profile demand;
    event_queue events;
    invariant_checker checker;
    network links;
    std::shared_ptr<memory_faults> faults;
    memory_table_store table;
    memory_object_store objects;
    memory_instance_list list;
    std::map<std::string, std::unique_ptr<sim_server>> servers;
    std::vector<std::unique_ptr<sim_router>> routers; ///< of all incarnations
    std::map<std::int64_t, time_ms> applied_at;       ///< by configuration version

private:
    void set_up_platform();
    void commit_initial_rows(const transaction& change);
    void add_spend_history(const config_snapshot& config);
    void commit_edit(const std::shared_ptr<apply_planner>& planner, int attempts);
    void record_applied(const apply_planner& planner);

    std::vector<std::string> instances_;
    std::map<std::string, sim_router*> latest_router_;
    std::int64_t start_count_{0};
    std::int64_t apply_count_{0};
};

} // namespace jujubevalve::experiment
