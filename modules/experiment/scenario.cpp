#include "experiment/scenario.h"

#include "experiment/sim_caller.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>

namespace jujubevalve::experiment
{

namespace
{
constexpr double usual_rate = 0.004; // requests a millisecond, of all callers
// After the last request: longer than the caller's timeouts and a recovery by evidence (b), which
// waits for the list's lag and the longest request time.
constexpr time_ms cool_down = minutes(4);

void set_outage(world& all, time_ms from, time_ms to)
{
    all.events.at(from, [&all] { all.faults->set({.outage = true}); });
    all.events.at(to, [&all] { all.faults->set({}); });
}

void kill(world& all, std::int64_t number)
{
    if (auto* const router = all.router_at(all.site.instance(number))) {
        router->kill();
    }
}

// One router is restarted on its instance, another one's instance disappears from the list.
void kill_two(world& all, time_ms at)
{
    all.events.at(at, [&all] { kill(all, 1); });
    all.events.at(at + seconds(30), [&all] { all.start_router(1); });
    all.events.at(at + minutes(2), [&all] {
        kill(all, 4);
        all.list.remove(all.site.instance(4));
    });
}

void pause(world& all, std::int64_t number, time_ms from, time_ms to)
{
    const auto name = all.site.instance(number);
    all.events.at(from, [&all, name] {
        if (auto* const router = all.router_at(name)) {
            router->pause();
        }
    });
    all.events.at(to, [&all, name] {
        if (auto* const router = all.router_at(name)) {
            router->resume();
        }
    });
}

// The router with the most available tokens is the worst one to lose.
std::int64_t richest(const world& all)
{
    std::int64_t found = 0;
    token_count most = -1;
    for (std::int64_t i = 0; i < all.site.routers; ++i) {
        auto& book = all.router_at(all.site.instance(i))->budgets().book();
        token_count held = 0;
        for (const auto& budget : book.budgets()) {
            held += book.available(budget);
        }
        if (held > most) {
            most = held;
            found = i;
        }
    }
    return found;
}

void pause_richest(world& all)
{
    all.events.at(minutes(3), [&all] {
        const auto number = richest(all);
        pause(all, number, minutes(3), minutes(23));
        all.events.at(minutes(23) - time_ms{1},
                      [&all, number] { all.links.cut_platform(all.site.instance(number)); });
        all.events.at(minutes(28), [&all] { all.links.heal(all.events.now()); });
    });
}

// The third failure domain loses the others and the platform; one router of the second domain
// loses the platform only.
void partition(world& all, time_ms from, time_ms to)
{
    all.events.at(from, [&all] {
        const auto& names = all.instances();
        for (std::size_t i = 0; i < names.size(); ++i) {
            for (std::size_t j = 0; j < names.size(); ++j) {
                if (i % 3 == 2 && j % 3 != 2) {
                    all.links.cut(names[i], names[j]);
                }
            }
            if (i % 3 == 2) {
                all.links.cut_platform(names[i]);
            }
        }
        all.links.cut_platform(names[1]);
    });
    all.events.at(to, [&all] { all.links.heal(all.events.now()); });
}

void top_up(world& all, time_ms at)
{
    all.events.at(at, [&all] {
        all.apply("operator", all.newest_config(), [](config_snapshot::pool_table& pools) {
            for (auto& [name, row] : pools) {
                row.limit_tokens += row.limit_tokens / 2;
            }
        });
    });
}

// Three operators edit from the same version at nearly the same time, every 20 s.
void race_operators(world& all, time_ms length)
{
    for (auto at = seconds(20); at < length; at = at + seconds(20)) {
        all.events.at(at, [&all] {
            const auto base = all.newest_config();
            for (int i = 0; i < 3; ++i) {
                const time_ms delay{static_cast<std::int64_t>(all.random() % 6)};
                const bool raise = all.random() % 2 == 0;
                const auto skip = all.random() % base.pools().size();
                all.events.after(delay, [&all, base, i, raise, skip] {
                    all.apply(fmt::format("operator-{}", i), base, [&](auto& pools) {
                        auto& row =
                            std::next(pools.begin(), static_cast<std::ptrdiff_t>(skip))->second;
                        const auto step = row.limit_tokens / 100;
                        row.limit_tokens += raise ? step : -step;
                    });
                });
            }
        });
    }
}

void leave_servers(world& all)
{
    const auto name = [&all](int number) {
        return fmt::format("{}-{}", all.site.engine_pool, number);
    };
    // By the server's own report, by the table, and on the plain service.
    all.events.at(minutes(2), [&all, name] { all.servers.at(name(0))->leave(); });
    all.events.at(minutes(3), [&all, name] {
        all.apply("operator", all.newest_config(), [&](config_snapshot::pool_table& pools) {
            pools.at(all.site.engine_pool).servers.at(1).leaving = true;
        });
        all.servers.at(name(1))->announce_leaving();
    });
    all.events.at(minutes(4), [&all] { all.servers.at(all.site.plain_pool + "-0")->leave(); });
}

void drain_three(world& all)
{
    for (std::int64_t i = 0; i < 3; ++i) {
        all.events.at(minutes(3 + 2 * i), [&all, i] {
            if (auto* const router = all.router_at(all.site.instance(i))) {
                router->drain();
            }
        });
        // A process that still drains is left alone.
        all.events.at(minutes(4 + 2 * i), [&all, i] {
            if (all.router_at(all.site.instance(i)) == nullptr) {
                all.start_router(i);
            }
        });
    }
}

void lose_answers(world& all, time_ms from, time_ms to)
{
    all.events.at(from, [&all] {
        all.faults->set({.lost_answers = 0.2, .late_writes = 0.05, .seed = all.seed});
    });
    for (auto at = from; at < to; at = at + seconds(3)) {
        all.events.at(at, [&all] { all.table.run_late_writes(); });
    }
    all.events.at(to, [&all] {
        all.faults->set({.seed = all.seed});
        all.table.run_late_writes();
    });
}

world_options with_rate(double requests_per_ms)
{
    world_options options;
    options.requests_per_ms = requests_per_ms;
    return options;
}

world_options nearly_spent(time_ms remaining)
{
    auto options = with_rate(usual_rate);
    options.remaining_demand = remaining;
    return options;
}

world_options with_silence()
{
    auto options = with_rate(usual_rate);
    options.silent_share = 0.05;
    options.mixed_share = 0.05;
    return options;
}

world_options mostly_plain()
{
    auto options = with_rate(usual_rate);
    options.plain_share = 0.8;
    return options;
}

std::vector<scenario> make_scenarios()
{
    return {
        {"steady", "no faults", minutes(20), with_rate(usual_rate), {}},
        {"budget-exhaustion",
         "the budgets run out after three quarters of the time",
         minutes(20),
         nearly_spent(minutes(15)),
         {}},
        {"budget-exhaustion-with-outage",
         "as budget-exhaustion, with ten minutes of platform outage before the end of the budgets",
         minutes(20), nearly_spent(minutes(15)),
         [](world& all) { set_outage(all, minutes(5), minutes(15)); }},
        {"platform-outage", "ten minutes of platform outage", minutes(20), with_rate(usual_rate),
         [](world& all) { set_outage(all, minutes(5), minutes(15)); }},
        {"platform-lost-answers",
         "ten minutes in which a fifth of the platform's answers is lost and some writes are late",
         minutes(15), with_rate(usual_rate),
         [](world& all) { lose_answers(all, minutes(2), minutes(12)); }},
        {"router-kill", "one router is killed and restarted, another one killed and removed",
         minutes(12), with_rate(usual_rate), [](world& all) { kill_two(all, minutes(5)); }},
        {"long-pause",
         "the router that holds the most is paused for 20 minutes while the budgets run out; when "
         "it continues, it does not reach the platform for 5 minutes",
         minutes(30), nearly_spent(minutes(15)), pause_richest},
        {"partition-with-top-up", "one hour of partitions with a top-up in the middle", minutes(70),
         with_rate(usual_rate / 2),
         [](world& all) {
             partition(all, minutes(5), minutes(65));
             top_up(all, minutes(35));
         }},
        {"drain", "three routers are drained and replaced one after the other", minutes(10),
         with_rate(usual_rate), drain_three},
        {"operator-race", "three operators edit the tables from the same versions", minutes(10),
         with_rate(usual_rate),
         [](world& all) {
             race_operators(all, minutes(10));
             all.events.at(minutes(4),
                           [&all] { all.faults->set({.lost_answers = 0.2, .seed = all.seed}); });
             all.events.at(minutes(8), [&all] { all.faults->set({.seed = all.seed}); });
         }},
        {"silent-connections",
         "connections to backend servers go silent, others show answers to other requests",
         minutes(10),
         with_silence(),
         {}},
        {"double-fault-kill-in-outage", "two routers are killed during a platform outage",
         minutes(20), with_rate(usual_rate),
         [](world& all) {
             set_outage(all, minutes(5), minutes(15));
             kill_two(all, minutes(8));
         }},
        {"double-fault-pause-in-partition",
         "a router is paused during a partition while the budgets run out", minutes(30),
         nearly_spent(minutes(15)),
         [](world& all) {
             partition(all, minutes(3), minutes(20));
             pause(all, 0, minutes(4), minutes(24));
         }},
        {"server-leaving", "backend servers leave, by their own report and by the table",
         minutes(8), with_rate(usual_rate), leave_servers},
        {"non-idempotent-outage", "calls of the plain service during 30 minutes of outage",
         minutes(40), mostly_plain(), [](world& all) { set_outage(all, minutes(5), minutes(35)); }},
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
        return options.why();
    }
    world all{*site, *options, settings.seed};
    std::vector<std::unique_ptr<sim_caller>> callers;
    for (const auto& client : all.demand.clients) {
        callers.push_back(std::make_unique<sim_caller>(all, client, callers.size()));
    }
    // The routers have a configuration after their first seconds.
    all.events.at(seconds(5), [&] {
        for (const auto& caller : callers) {
            caller->start(chosen->length);
        }
    });
    if (chosen->script) {
        chosen->script(all);
    }
    all.events.run_until(chosen->length + cool_down);
    all.check_end();
    auto report = all.truth.report();
    report.scenario = settings.scenario;
    report.deployment = settings.deployment;
    report.seed = settings.seed;
    report.policy = settings.policy.empty() ? options->policy : settings.policy;
    return report;
}

} // namespace jujubevalve::experiment
