#include "heap_use.h"
#include "sample_tables.h"

#include "budget/budget.h"
#include "config/config.h"
#include "config/config_history.h"
#include "routing/routing.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>

namespace
{
using namespace jujubevalve;

// Tables with a route for each budget, or with one for each account.
table_size size_of(const benchmark::State& state)
{
    table_size size;
    size.pools = state.range(0);
    size.routes = state.range(1) != 0 ? std::max(size.accounts, size.pools) : size.accounts;
    return size;
}

void sizes(benchmark::internal::Benchmark* bench)
{
    for (const auto routes : {0, 1}) {
        for (const auto pools : {1000, 10'000, 100'000, 230'000}) {
            bench->Args({pools, routes});
        }
    }
    bench->ArgNames({"pools", "route_each"})->Unit(benchmark::kMillisecond);
}

budget_pools sources_of(const config_snapshot& tables)
{
    budget_pools sources;
    for (const auto& [name, row] : tables.pools()) {
        sources[row.budget].push_back(name);
    }
    return sources;
}

// Memory that a router uses for the tables in force.
void tables_memory(benchmark::State& state)
{
    const auto size = size_of(state);
    trim_heap();
    const auto start = heap_bytes();
    const auto resident = resident_bytes();
    const auto tables = std::make_shared<const config_snapshot>(make_tables(size));
    const auto snapshot = heap_bytes();
    const route_matcher match{tables};
    const auto matched = heap_bytes();
    const auto sources = sources_of(*tables);
    const auto end = heap_bytes();
    trim_heap();
    const auto resident_end = resident_bytes();
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(match.snapshot());
        benchmark::DoNotOptimize(sources.size());
    }
    constexpr double mb = 1e6;
    state.counters["snapshot_MB"] = static_cast<double>(snapshot - start) / mb;
    state.counters["match_MB"] = static_cast<double>(matched - snapshot) / mb;
    state.counters["sources_MB"] = static_cast<double>(end - matched) / mb;
    state.counters["resident_MB"] = static_cast<double>(resident_end - resident) / mb;
}
BENCHMARK(tables_memory)->Apply(sizes)->Iterations(1);

// Adoption of a version that changes one row, with what a router derives from the tables.
void adopt_top_up(benchmark::State& state)
{
    config_history history{10};
    history.adopt(make_tables(size_of(state)));
    const auto before = heap_bytes();
    std::int64_t added = 0;
    while (state.KeepRunning()) {
        const auto previous = history.current();
        if (history.adopt(make_top_ups(*previous, 1)) != adopt_outcome::adopted) {
            state.SkipWithError("the version was not adopted");
            break;
        }
        const route_matcher match{history.current()};
        const auto sources = sources_of(*history.current());
        benchmark::DoNotOptimize(match.snapshot());
        added = std::max(added, heap_bytes() - before);
    }
    state.counters["added_MB"] = static_cast<double>(added) / 1e6;
}
BENCHMARK(adopt_top_up)->Apply(sizes);

// Adoption of 20 missed versions, one after the other or together.
void adopt_backlog(benchmark::State& state)
{
    constexpr std::int64_t missed = 20;
    config_history history{10};
    table_size size;
    size.pools = state.range(0);
    size.routes = std::max(size.accounts, size.pools);
    history.adopt(make_tables(size));
    const auto entries = make_top_ups(*history.current(), missed);
    while (state.KeepRunning()) {
        if (state.range(1) != 0) {
            history.adopt(entries);
            continue;
        }
        for (const auto& entry : entries) {
            history.adopt(entry);
        }
    }
    if (history.version() != entries.back().version) {
        state.SkipWithError("the versions were not adopted");
    }
}
BENCHMARK(adopt_backlog)
    ->ArgsProduct({{1000, 10'000, 100'000, 230'000}, {0, 1}})
    ->ArgNames({"pools", "together"})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
} // namespace
