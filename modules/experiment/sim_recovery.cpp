#include "experiment/sim_recovery.h"

#include "experiment/world.h"

#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr time_ms max_request_duration = minutes(1);
constexpr time_ms step_delay{5};

template <class T>
recovery_answer to_recovery_answer(const result<T>& answer)
{
    return answer ? recovery_answer{*answer} : recovery_answer{answer.error()};
}

failure no_platform()
{
    return {result_code::platform_unavailable, "not connected to the platform"};
}
} // namespace

sim_recovery::sim_recovery(world& sim, sim_router& router)
    : sim_{sim}
    , router_{router}
    , evidence_{world::list_lag, max_request_duration}
{
}

void sim_recovery::list_read(const std::vector<std::string>& instances, time_ms requested_at)
{
    evidence_.list_read(instances, requested_at, sim_.events.now());
}

void sim_recovery::watch_rows()
{
    const auto now = sim_.events.now();
    for (const auto& [name, row] : router_.instance_rows()) {
        const bool open =
            row.state == incarnation_state::active || row.state == incarnation_state::recovering;
        if (open && name != router_.incarnation() && watched_.insert(name).second) {
            evidence_.watch(name, row.instance, row.peer_address, now);
        }
        if (!open && watched_.erase(name) > 0) {
            evidence_.forget(name);
        }
    }
    // This process listens on the peer address of its instance, so earlier incarnations there have
    // terminated.
    evidence_.record_successor(router_.incarnation(), router_.instance(), router_.instance(),
                               now + time_ms{1});
}

// A different process that answers on the address of a watched incarnation proves that the watched
// one has terminated.
void sim_recovery::query_successors()
{
    for (const auto& name : watched_) {
        const auto instance = instance_of(name);
        if (instance == router_.instance() || router_.incarnation_at(instance) == name) {
            continue;
        }
        sim_.call<std::string>(
            router_, instance, [](sim_router& peer) { return peer.incarnation(); },
            [this, instance, requested_at = sim_.events.now()](const auto& answer) {
                if (answer) {
                    evidence_.record_successor(*answer, instance, instance, requested_at);
                }
            });
    }
}

void sim_recovery::run()
{
    if (running_) {
        return;
    }
    watch_rows();
    query_successors();
    const auto found = evidence_.gone(sim_.events.now());
    std::set<std::string> terminated{found.begin(), found.end()};
    if (terminated.empty()) {
        return;
    }
    if (terminated != recovering_ || plan_ == nullptr) {
        recovering_ = std::move(terminated);
        plan_ = std::make_unique<recovery_plan>(recovering_, make_settings());
    } else {
        plan_->retry();
    }
    running_ = true;
    run_steps();
}

void sim_recovery::run_steps()
{
    const auto commands = plan_->next();
    for (const auto& command : commands) {
        plan_->consume(command.id, std::visit([this](const auto& step) { return execute(step); },
                                              command.what));
    }
    if (!commands.empty()) {
        router_.after(step_delay, [this] { run_steps(); });
        return;
    }
    running_ = false;
    if (!plan_->done()) {
        return;
    }
    ++sim_.checker.report().recoveries;
    for (const auto& incarnation : recovering_) {
        evidence_.forget(incarnation);
    }
    plan_.reset();
    recovering_.clear();
}

recovery_settings sim_recovery::make_settings() const
{
    recovery_settings settings;
    settings.term = 1;
    const auto config = router_.config().current();
    for (const auto& [name, row] : config->pools()) {
        settings.budgets.insert(row.budget);
        for (const auto& server : config->servers_of(row)) {
            settings.servers[server.name].insert(row.budget);
        }
    }
    return settings;
}

recovery_answer sim_recovery::execute(const read_rows& step)
{
    return sim_.links.reaches_platform(router_.instance())
               ? to_recovery_answer(sim_.table.read(step.keys))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::execute(const scan_rows& step)
{
    return sim_.links.reaches_platform(router_.instance())
               ? to_recovery_answer(scan_all(sim_.table, step.prefix))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::execute(const list_objects& step)
{
    return sim_.links.reaches_platform(router_.instance())
               ? to_recovery_answer(sim_.objects.list(step.prefix))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::execute(const get_object& step)
{
    return sim_.links.reaches_platform(router_.instance())
               ? to_recovery_answer(sim_.objects.get(step.name))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::execute(const put_object& step)
{
    return sim_.links.reaches_platform(router_.instance())
               ? to_recovery_answer(sim_.objects.put(step.name, step.content))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::execute(const cancel_key& step)
{
    return sim_.servers.at(step.server)->cancel(step.key);
}

recovery_answer sim_recovery::execute(const query_peer& step)
{
    auto* const peer = sim_.router_at(instance_of(step.peer));
    const bool answers = peer != nullptr && peer->incarnation() == step.peer &&
                         !peer->is_paused() &&
                         sim_.links.linked(router_.instance(), peer->instance());
    if (!answers) {
        return failure{result_code::peer_unreachable, step.peer};
    }
    std::vector<peer_totals> totals;
    for (const auto& incarnation : step.gone) {
        totals.push_back(
            {incarnation, peer->budgets().transfers().totals_for_recovery(incarnation)});
    }
    return totals;
}

recovery_answer sim_recovery::execute(const commit_rows& step)
{
    if (!sim_.links.reaches_platform(router_.instance())) {
        return commit_result{commit_outcome::unavailable, {}, {}};
    }
    return sim_.table.commit(step.change);
}

} // namespace jujubevalve::experiment
