#include "heap_use.h"
#include "sample_tables.h"

#include "budget/budget.h"
#include "routing/routing.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>
#include <vector>

namespace
{
using namespace jujubevalve;

constexpr token_count ample_tokens = 1'000'000'000'000;
constexpr std::int64_t instances = 450;

// Grant state in which each of the budgets holds a grant and is in use.
std::unique_ptr<grant_tracker> make_tracker(const std::vector<std::string>& budgets)
{
    auto tracker = std::make_unique<grant_tracker>("entry-001-0123456789abcdef");
    for (const auto& budget : budgets) {
        tracker->reserve(budget, 100, time_ms{0});
        budget_observation seen;
        seen.budget = budget;
        seen.limit = ample_tokens;
        seen.grantable = ample_tokens;
        seen.allocated = 1'000'000;
        seen.grant.granted = 1'000'000;
        seen.grant_version = 1;
        tracker->observe(seen, time_ms{0});
    }
    return tracker;
}

std::vector<std::string> budget_names(std::int64_t count)
{
    std::vector<std::string> names;
    for (std::int64_t i = 0; i < count; ++i) {
        names.push_back(sample_budget(i * 23));
    }
    return names;
}

// Route match of a request, by the number of budgets in the configuration.
void match_known(benchmark::State& state)
{
    table_size size;
    size.pools = state.range(0);
    size.routes = std::max(size.accounts, size.pools);
    const route_matcher match{std::make_shared<const config_snapshot>(make_tables(size))};
    std::vector<std::pair<std::string, std::string>> lookups;
    for (std::int64_t i = 0; i < 1024; ++i) {
        const auto route = (i * 7919) % size.routes;
        lookups.emplace_back(sample_bearer_key(route % size.accounts),
                             sample_kind(route, size.accounts));
    }
    std::size_t next = 0;
    while (state.KeepRunning()) {
        const auto& [key, kind] = lookups[next++ % lookups.size()];
        const auto target = match.match(key, kind, service_kind::engine);
        if (!target) {
            state.SkipWithError("no route matched");
            break;
        }
        benchmark::DoNotOptimize(target);
    }
}
BENCHMARK(match_known)->Arg(1000)->Arg(10'000)->Arg(100'000)->Arg(230'000);

// Reservation and settlement, by the number of budgets drawn on.
void reserve_and_settle(benchmark::State& state)
{
    const auto names = budget_names(state.range(0));
    const auto before = heap_bytes();
    const auto tracker = make_tracker(names);
    const auto used = heap_bytes() - before;
    std::size_t next = 0;
    std::int64_t now = 1;
    while (state.KeepRunning()) {
        const auto& budget = names[next];
        next = (next + 7919) % names.size();
        const auto reserved = tracker->reserve(budget, 100, time_ms{now});
        tracker->settle(reserved.id, 80, time_ms{now});
        now += state.iterations() % 64 == 0 ? 1 : 0;
        if (tracker->available(budget) < 1000) {
            state.SkipWithError("a grant ran out");
            break;
        }
    }
    state.counters["bytes_per_budget"] =
        static_cast<double>(used) / static_cast<double>(names.size());
}
BENCHMARK(reserve_and_settle)->Arg(100)->Arg(1000)->Arg(3000)->Arg(10'000)->Iterations(200'000);

// One check for due refills that finds none; the router runs it every 200 ms.
void plan_refill_idle(benchmark::State& state)
{
    const auto tracker = make_tracker(budget_names(state.range(0)));
    const demand_driven policy{minutes(70)};
    while (true) {
        const auto batch = tracker->plan_refill(policy, instances, time_ms{1000});
        if (batch.empty()) {
            break;
        }
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(tracker->plan_refill(policy, instances, time_ms{1000}));
    }
}
BENCHMARK(plan_refill_idle)->Arg(100)->Arg(1000)->Arg(3000)->Arg(10'000);

// The budgets that a gossip round announces.
void largest_available(benchmark::State& state)
{
    const auto tracker = make_tracker(budget_names(state.range(0)));
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(tracker->largest_available(64));
    }
}
BENCHMARK(largest_available)->Arg(100)->Arg(1000)->Arg(3000)->Arg(10'000);
} // namespace
