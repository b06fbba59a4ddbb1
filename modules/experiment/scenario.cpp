#include "experiment/scenario.h"

#include "experiment/sim_caller.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>

namespace jujubevalve::experiment
{

namespace
{
constexpr double default_requests_per_ms = 0.004; // sum over all callers
// Time after the last request. It exceeds the caller's timeouts and the longest recovery, which
// starts when the instance is missing from the list: it waits for the lag of the list and the
// longest request duration.
constexpr time_ms cool_down = minutes(4);

void set_outage(world& sim, time_ms from, time_ms to)
{
    sim.events.at(from, [&sim] { sim.faults->set({.outage = true}); });
    sim.events.at(to, [&sim] { sim.faults->set({}); });
}

void kill(world& sim, std::int64_t number)
{
    if (auto* const router = sim.router_at(sim.site.instance(number))) {
        router->kill();
    }
}

// Restarts one router on its instance; removes the instance of the other from the list.
void kill_two(world& sim, time_ms at)
{
    sim.events.at(at, [&sim] { kill(sim, 1); });
    sim.events.at(at + seconds(30), [&sim] { sim.start_router(1); });
    sim.events.at(at + minutes(2), [&sim] {
        kill(sim, 4);
        sim.list.remove(sim.site.instance(4));
    });
}

void pause(world& sim, std::int64_t number, time_ms from, time_ms to)
{
    const auto name = sim.site.instance(number);
    sim.events.at(from, [&sim, name] {
        if (auto* const router = sim.router_at(name)) {
            router->pause();
        }
    });
    sim.events.at(to, [&sim, name] {
        if (auto* const router = sim.router_at(name)) {
            router->resume();
        }
    });
}

// Returns the router with the most available tokens, whose loss has the largest effect.
std::int64_t richest_router(const world& sim)
{
    std::int64_t found = 0;
    token_count max_held = -1;
    for (std::int64_t i = 0; i < sim.site.routers; ++i) {
        auto& grants = sim.router_at(sim.site.instance(i))->budgets().grants();
        token_count held = 0;
        for (const auto& budget : grants.budgets()) {
            held += grants.available(budget);
        }
        if (held > max_held) {
            max_held = held;
            found = i;
        }
    }
    return found;
}

void pause_richest_router(world& sim)
{
    sim.events.at(minutes(3), [&sim] {
        const auto number = richest_router(sim);
        pause(sim, number, minutes(3), minutes(23));
        sim.events.at(minutes(23) - time_ms{1},
                      [&sim, number] { sim.links.cut_platform(sim.site.instance(number)); });
        sim.events.at(minutes(28), [&sim] { sim.links.heal(sim.events.now()); });
    });
}

// Cuts the third failure domain off from the other domains and the platform, and one router of the
// second domain off from the platform only.
void partition(world& sim, time_ms from, time_ms to)
{
    sim.events.at(from, [&sim] {
        const auto& names = sim.instances();
        for (std::size_t i = 0; i < names.size(); ++i) {
            for (std::size_t j = 0; j < names.size(); ++j) {
                if (i % 3 == 2 && j % 3 != 2) {
                    sim.links.cut(names[i], names[j]);
                }
            }
            if (i % 3 == 2) {
                sim.links.cut_platform(names[i]);
            }
        }
        sim.links.cut_platform(names[1]);
    });
    sim.events.at(to, [&sim] { sim.links.heal(sim.events.now()); });
}

void top_up(world& sim, time_ms at)
{
    sim.events.at(at, [&sim] {
        sim.apply("operator", sim.newest_config(), [](config_snapshot::pool_table& pools) {
            for (auto& [name, row] : pools) {
                row.limit_tokens += row.limit_tokens / 2;
            }
        });
    });
}

// Every 20 s, three operators edit the same version within a few milliseconds.
void race_operators(world& sim, time_ms length)
{
    for (auto at = seconds(20); at < length; at = at + seconds(20)) {
        sim.events.at(at, [&sim] {
            const auto base = sim.newest_config();
            for (int i = 0; i < 3; ++i) {
                const time_ms delay{static_cast<std::int64_t>(sim.random() % 6)};
                const bool raise = sim.random() % 2 == 0;
                const auto index = sim.random() % base.pools().size();
                sim.events.after(delay, [&sim, base, i, raise, index] {
                    sim.apply(fmt::format("operator-{}", i), base, [&](auto& pools) {
                        auto& row =
                            std::next(pools.begin(), static_cast<std::ptrdiff_t>(index))->second;
                        const auto step = row.limit_tokens / 100;
                        row.limit_tokens += raise ? step : -step;
                    });
                });
            }
        });
    }
}

void leave_servers(world& sim)
{
    const auto name = [&sim](int number) {
        return fmt::format("{}-{}", sim.site.engine_pool, number);
    };
    // Covers a server that reports that it is leaving, one marked in the table, and a plain server.
    sim.events.at(minutes(2), [&sim, name] { sim.servers.at(name(0))->leave(); });
    sim.events.at(minutes(3), [&sim, name] {
        sim.apply("operator", sim.newest_config(), [&](config_snapshot::pool_table& pools) {
            pools.at(sim.site.engine_pool).servers.at(1).leaving = true;
        });
        sim.servers.at(name(1))->announce_leaving();
    });
    sim.events.at(minutes(4), [&sim] { sim.servers.at(sim.site.plain_pool + "-0")->leave(); });
}

void drain_three(world& sim)
{
    for (std::int64_t i = 0; i < 3; ++i) {
        sim.events.at(minutes(3 + 2 * i), [&sim, i] {
            if (auto* const router = sim.router_at(sim.site.instance(i))) {
                router->drain();
            }
        });
        // Does not replace a process that is still draining.
        sim.events.at(minutes(4 + 2 * i), [&sim, i] {
            if (sim.router_at(sim.site.instance(i)) == nullptr) {
                sim.start_router(i);
            }
        });
    }
}

void lose_answers(world& sim, time_ms from, time_ms to)
{
    sim.events.at(from, [&sim] {
        sim.faults->set({.lost_answers = 0.2, .late_writes = 0.05, .seed = sim.seed});
    });
    for (auto at = from; at < to; at = at + seconds(3)) {
        sim.events.at(at, [&sim] { sim.table.run_late_writes(); });
    }
    sim.events.at(to, [&sim] {
        sim.faults->set({.seed = sim.seed});
        sim.table.run_late_writes();
    });
}

world_options with_rate(double requests_per_ms)
{
    world_options options;
    options.requests_per_ms = requests_per_ms;
    return options;
}

world_options with_remaining_demand(time_ms remaining)
{
    auto options = with_rate(default_requests_per_ms);
    options.remaining_demand = remaining;
    return options;
}

world_options with_silent_connections()
{
    auto options = with_rate(default_requests_per_ms);
    options.silent_share = 0.05;
    options.mixed_share = 0.05;
    return options;
}

world_options with_mostly_plain_calls()
{
    auto options = with_rate(default_requests_per_ms);
    options.plain_share = 0.8;
    return options;
}

std::vector<scenario> make_scenarios()
{
    return {
        {"steady", "no faults", minutes(20), with_rate(default_requests_per_ms), {}},
        {"budget-exhaustion",
         "the budgets run out after three quarters of the time",
         minutes(20),
         with_remaining_demand(minutes(15)),
         {}},
        {"budget-exhaustion-with-outage",
         "as budget-exhaustion, with ten minutes of platform outage before the end of the budgets",
         minutes(20), with_remaining_demand(minutes(15)),
         [](world& sim) { set_outage(sim, minutes(5), minutes(15)); }},
        {"platform-outage", "ten minutes of platform outage", minutes(20),
         with_rate(default_requests_per_ms),
         [](world& sim) { set_outage(sim, minutes(5), minutes(15)); }},
        {"platform-lost-answers",
         "ten minutes in which a fifth of the platform's answers is lost and some writes are late",
         minutes(15), with_rate(default_requests_per_ms),
         [](world& sim) { lose_answers(sim, minutes(2), minutes(12)); }},
        {"router-kill", "one router is killed and restarted, another one killed and removed",
         minutes(12), with_rate(default_requests_per_ms),
         [](world& sim) { kill_two(sim, minutes(5)); }},
        {"long-pause",
         "the router that holds the most is paused for 20 minutes while the budgets run out; when "
         "it continues, it does not reach the platform for 5 minutes",
         minutes(30), with_remaining_demand(minutes(15)), pause_richest_router},
        {"partition-with-top-up", "one hour of partitions with a top-up in the middle", minutes(70),
         with_rate(default_requests_per_ms / 2),
         [](world& sim) {
             partition(sim, minutes(5), minutes(65));
             top_up(sim, minutes(35));
         }},
        {"drain", "three routers are drained and replaced one after the other", minutes(10),
         with_rate(default_requests_per_ms), drain_three},
        {"operator-race", "three operators edit the tables from the same versions", minutes(10),
         with_rate(default_requests_per_ms),
         [](world& sim) {
             race_operators(sim, minutes(10));
             sim.events.at(minutes(4),
                           [&sim] { sim.faults->set({.lost_answers = 0.2, .seed = sim.seed}); });
             sim.events.at(minutes(8), [&sim] { sim.faults->set({.seed = sim.seed}); });
         }},
        {"silent-connections",
         "connections to backend servers go silent, others show answers to other requests",
         minutes(10),
         with_silent_connections(),
         {}},
        {"double-fault-kill-in-outage", "two routers are killed during a platform outage",
         minutes(20), with_rate(default_requests_per_ms),
         [](world& sim) {
             set_outage(sim, minutes(5), minutes(15));
             kill_two(sim, minutes(8));
         }},
        {"double-fault-pause-in-partition",
         "a router is paused during a partition while the budgets run out", minutes(30),
         with_remaining_demand(minutes(15)),
         [](world& sim) {
             partition(sim, minutes(3), minutes(20));
             pause(sim, 0, minutes(4), minutes(24));
         }},
        {"server-leaving", "backend servers leave, by their own report and by the table",
         minutes(8), with_rate(default_requests_per_ms), leave_servers},
        {"non-idempotent-outage", "calls of the plain service during 30 minutes of outage",
         minutes(40), with_mostly_plain_calls(),
         [](world& sim) { set_outage(sim, minutes(5), minutes(35)); }},
    };
}

result<world_options> options_for(const scenario& chosen, const run_settings& settings)
{
    auto options = chosen.options;
    options.trace = settings.trace;
    const auto& policy = settings.policy;
    if (policy.empty() || policy == "issued-keys") {
        return options;
    }
    const auto& known = all_policies();
    if (std::find(known.begin(), known.end(), policy) == known.end()) {
        return failure{
            result_code::invalid_setting,
            fmt::format("--policy is \"{}\", expected one of {}", policy, fmt::join(known, ", "))};
    }
    if (policy == "durable-intent") {
        options.issued_keys = false;
    } else {
        options.policy = policy;
    }
    return options;
}
} // namespace

const std::vector<scenario>& all_scenarios()
{
    static const auto scenarios = make_scenarios();
    return scenarios;
}

const std::vector<std::string>& all_policies()
{
    static const std::vector<std::string> policies{"demand-driven",   "demand-driven-no-transfers",
                                                   "static-shares",   "platform-per-request",
                                                   "reclaim-by-time", "issued-keys",
                                                   "durable-intent"};
    return policies;
}

result<run_report> run_scenario(const run_settings& settings)
{
    const auto& known = all_scenarios();
    const auto chosen = std::find_if(known.begin(), known.end(), [&](const auto& item) {
        return item.name == settings.scenario;
    });
    if (chosen == known.end()) {
        return failure{result_code::invalid_setting,
                       fmt::format("scenario \"{}\" does not exist; --list names the scenarios",
                                   settings.scenario)};
    }
    const auto site = find_deployment(settings.deployment);
    if (!site) {
        return failure{result_code::invalid_setting,
                       fmt::format("--deployment is \"{}\", expected braithwaite or braeside",
                                   settings.deployment)};
    }
    const auto options = options_for(*chosen, settings);
    if (!options) {
        return options.error();
    }
    world sim{*site, *options, settings.seed};
    std::vector<std::unique_ptr<sim_caller>> callers;
    for (const auto& client : sim.demand.clients) {
        callers.push_back(std::make_unique<sim_caller>(sim, client, callers.size()));
    }
    // Callers start once the routers have loaded a configuration.
    sim.events.at(seconds(5), [&] {
        for (const auto& caller : callers) {
            caller->start(chosen->length);
        }
    });
    if (chosen->script) {
        chosen->script(sim);
    }
    sim.events.run_until(chosen->length + cool_down);
    sim.check_final_state();
    auto report = sim.checker.report();
    report.scenario = settings.scenario;
    report.deployment = settings.deployment;
    report.seed = settings.seed;
    report.policy = settings.policy.empty() ? options->policy : settings.policy;
    return report;
}

} // namespace jujubevalve::experiment
