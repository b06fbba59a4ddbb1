#pragma once

#include "config/config.h"
#include "experiment/arbiter.h"
#include "experiment/deployment.h"
#include "experiment/event_queue.h"
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

/// How a run differs from the defaults.
struct world_options {
    std::string policy{"demand-driven"};
    bool issued_keys{true};    ///< non-idempotent requests carry an issued prefix
    double requests_per_ms{0}; ///< of all callers together
    double plain_share{0.2};   ///< part of the requests that go to the plain service
    double silent_share{0};    ///< part of the connections to backend servers that go silent
    double mixed_share{0};     ///< part of the runs whose connection shows another run's answer too
    time_ms remaining_demand{}; ///< if not 0, the budgets are spent but for this much demand
    bool trace{false};
};

/// Everything that exists in one run: the virtual clock, the platform, the routers of all
/// incarnations, the backend servers and the arbiter.
class world
{
public:
    world(deployment chosen, const world_options& chosen_options, std::uint64_t seed);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /// Starts a process on the instance; an earlier one must be dead.
    sim_router& start_router(std::int64_t number);

    /// The process on the instance, or null if none runs.
    [[nodiscard]] sim_router* router_at(const std::string& instance) const;

    /// The instances' names.
    [[nodiscard]] const std::vector<std::string>& instances() const { return instances_; }

    /// Delivers a request to an instance; the reply tells how it went.
    void deliver(const std::string& instance, const sim_request& request,
                 const reply_function& reply);

    /// Sends one message from router to router. It is lost if the link is cut.
    void send(const std::string& from, const std::string& to,
              std::function<void(sim_router&)> receive);

    /// Calls a router from another one. `done` gets nothing if there is no answer.
    template <class Reply>
    void call(sim_router& from, const std::string& to, std::function<Reply(sim_router&)> serve,
              std::function<void(std::optional<Reply>)> done)
    {
        const auto open = std::make_shared<bool>(true);
        const auto end = [open, done, &from](std::optional<Reply> reply) {
            if (std::exchange(*open, false)) {
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

    /// Calls the platform from a router. `unreached` and `lost` are the results without a call and
    /// without its answer.
    template <class Result>
    void ask(sim_router& from, std::function<Result()> effect, Result unreached, Result lost,
             std::function<void(const Result&)> done)
    {
        const auto name = from.instance();
        events.after(platform_delay, [=, this, &from] {
            if (!links.reaches_platform(name)) {
                events.after(platform_timeout,
                             [&from, done, unreached] { from.run([=] { done(unreached); }); });
                return;
            }
            const auto answer = effect();
            events.after(platform_delay, [=, this, &from] {
                const bool arrives = links.reaches_platform(name);
                from.run([=] { done(arrives ? answer : lost); });
            });
        });
    }

    /// The calls of the table service and the object store, as above.
    void read(sim_router& from, const std::vector<std::string>& keys,
              const std::function<void(const result<std::vector<table_row>>&)>& done);
    void commit(sim_router& from, const transaction& change,
                const std::function<void(const commit_result&)>& done);
    void put(sim_router& from, const std::string& name, const std::string& content,
             const std::function<void(const status&)>& done);

    /// Applies an edit of the newest tables, or of those at `base`, from an operator's machine.
    void apply(const std::string& operator_name, const config_snapshot& base,
               const std::function<void(config_snapshot::pool_table&)>& edit);
    /// The newest tables.
    [[nodiscard]] config_snapshot newest_config();

    /// Free slots of the servers behind a server set.
    [[nodiscard]] std::int64_t free_slots(const std::string& server_set) const;

    /// Compares bill and grants with the truth at the end of the run.
    void check_end();

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
    arbiter truth;
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
    void commit_first(const transaction& change);
    void spend_history(const config_snapshot& config);
    void commit_edit(const std::shared_ptr<apply_planner>& planner, int attempts);
    void note_applied(const apply_planner& planner);

    std::vector<std::string> instances_;
    std::map<std::string, sim_router*> by_instance_;
    std::int64_t starts_{0};
    std::int64_t applies_{0};
};

} // namespace jujubevalve::experiment
