#include "experiment/sim_recovery.h"

#include "experiment/world.h"

#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr time_ms longest_request = minutes(1);
constexpr time_ms step_delay{5};

template <class T>
recovery_answer to_recovery(const result<T>& answer)
{
    return answer ? recovery_answer{*answer} : recovery_answer{answer.why()};
}

failure no_platform()
{
    return {result_code::platform_unavailable, "cut off"};
}
} // namespace

sim_recovery::sim_recovery(world& all, sim_router& owner)
    : all_{all}
    , owner_{owner}
    , evidence_{world::list_lag, longest_request}
{
}

void sim_recovery::list_read(const std::vector<std::string>& instances, time_ms asked_at)
{
    evidence_.list_read(instances, asked_at, all_.events.now());
}

void sim_recovery::watch_rows()
{
    const auto now = all_.events.now();
    for (const auto& [name, row] : owner_.rows()) {
        const bool open =
            row.state == incarnation_state::active || row.state == incarnation_state::recovering;
        if (open && name != owner_.incarnation() && watched_.insert(name).second) {
            evidence_.watch(name, row.instance, row.peer_address, now);
        }
        if (!open && watched_.erase(name) > 0) {
            evidence_.forget(name);
        }
    }
    // This process holds the peer address of its instance.
    evidence_.successor_answered(owner_.incarnation(), owner_.instance(), owner_.instance(),
                                 now + time_ms{1});
}

// A process that answers on the address of a watched incarnation proves that that one is gone.
void sim_recovery::ask_successors()
{
    for (const auto& name : watched_) {
        const auto instance = instance_of(name);
        if (instance == owner_.instance() || owner_.running_at(instance) == name) {
            continue;
        }
        all_.call<std::string>(
            owner_, instance, [](sim_router& peer) { return peer.incarnation(); },
            [this, instance, asked = all_.events.now()](const auto& answer) {
                if (answer) {
                    evidence_.successor_answered(*answer, instance, instance, asked);
                }
            });
    }
}

void sim_recovery::run()
{
    if (working_) {
        return;
    }
    watch_rows();
    ask_successors();
    const auto found = evidence_.gone(all_.events.now());
    std::set<std::string> gone{found.begin(), found.end()};
    if (gone.empty()) {
        return;
    }
    if (gone != members_ || plan_ == nullptr) {
        members_ = std::move(gone);
        plan_ = std::make_unique<recovery_plan>(members_, make_settings());
    } else {
        plan_->retry();
    }
    working_ = true;
    work();
}

void sim_recovery::work()
{
    const auto commands = plan_->next();
    for (const auto& command : commands) {
        plan_->consume(command.id, std::visit([this](const auto& step) { return carry_out(step); },
                                              command.what));
    }
    if (!commands.empty()) {
        owner_.after(step_delay, [this] { work(); });
        return;
    }
    working_ = false;
    if (!plan_->done()) {
        return;
    }
    ++all_.truth.report().recoveries;
    for (const auto& incarnation : members_) {
        evidence_.forget(incarnation);
    }
    plan_.reset();
    members_.clear();
}

recovery_settings sim_recovery::make_settings() const
{
    recovery_settings made;
    made.term = 1;
    const auto config = owner_.config().current();
    for (const auto& [name, row] : config->pools()) {
        made.budgets.insert(row.budget);
        for (const auto& server : config->servers_of(row)) {
            made.servers[server.name].insert(row.budget);
        }
    }
    return made;
}

recovery_answer sim_recovery::carry_out(const read_rows& step)
{
    return all_.links.reaches_platform(owner_.instance()) ? to_recovery(all_.table.read(step.keys))
                                                          : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::carry_out(const scan_rows& step)
{
    return all_.links.reaches_platform(owner_.instance())
               ? to_recovery(scan_all(all_.table, step.prefix))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::carry_out(const list_objects& step)
{
    return all_.links.reaches_platform(owner_.instance())
               ? to_recovery(all_.objects.list(step.prefix))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::carry_out(const get_object& step)
{
    return all_.links.reaches_platform(owner_.instance()) ? to_recovery(all_.objects.get(step.name))
                                                          : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::carry_out(const put_object& step)
{
    return all_.links.reaches_platform(owner_.instance())
               ? to_recovery(all_.objects.put(step.name, step.content))
               : recovery_answer{no_platform()};
}

recovery_answer sim_recovery::carry_out(const cancel_key& step)
{
    return all_.servers.at(step.server)->cancel(step.key);
}

recovery_answer sim_recovery::carry_out(const ask_peer& step)
{
    auto* const peer = all_.router_at(instance_of(step.peer));
    const bool answers = peer != nullptr && peer->incarnation() == step.peer &&
                         !peer->is_paused() &&
                         all_.links.linked(owner_.instance(), peer->instance());
    if (!answers) {
        return failure{result_code::peer_unreachable, step.peer};
    }
    std::vector<peer_totals> totals;
    for (const auto& gone : step.gone) {
        totals.push_back({gone, peer->budgets().transfers().totals_for_recovery(gone)});
    }
    return totals;
}

recovery_answer sim_recovery::carry_out(const commit_rows& step)
{
    if (!all_.links.reaches_platform(owner_.instance())) {
        return commit_result{commit_outcome::unavailable, {}, {}};
    }
    return all_.table.commit(step.change);
}

} // namespace jujubevalve::experiment
