#include "heap_use.h"
#include "sample_tables.h"

#include "routing/routing.h"

#include <benchmark/benchmark.h>
#include <string>
#include <vector>

namespace
{
using namespace jujubevalve;

std::vector<std::string> sample_prompts()
{
    constexpr std::size_t count = 4096;
    std::vector<std::string> prompts;
    prompts.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        prompts.push_back("a prompt that starts with the number " + std::to_string(i));
    }
    return prompts;
}

// Selects a server from one list and finishes the request.
void choose_server(benchmark::State& state)
{
    const auto servers = sample_servers(0, state.range(0));
    const auto before = heap_bytes();
    backend_selector selector{1};
    selector.servers().set_servers(servers);
    const auto used = heap_bytes() - before;
    const auto prompts = sample_prompts();
    // Affinity buckets cache the chosen server; choose_after_change measures their first use.
    for (const auto& prompt : prompts) {
        const auto choice = selector.choose({prompt, true, {}}, time_ms{0});
        selector.finished(choice->name, backend_selector::ending::succeeded, time_ms{0});
    }
    std::size_t next = 0;
    while (state.KeepRunning()) {
        const auto& prompt = prompts[next++ % prompts.size()];
        const auto choice = selector.choose({prompt, true, {}}, time_ms{0});
        selector.finished(choice->name, backend_selector::ending::succeeded, time_ms{0});
    }
    state.counters["bytes_per_server"] =
        static_cast<double>(used) / static_cast<double>(state.range(0));
}
BENCHMARK(choose_server)->Arg(12)->Arg(100)->Arg(500)->Arg(2500);

// First use of the affinity buckets after a change of the candidates; time for one choice.
void choose_after_change(benchmark::State& state)
{
    backend_selector selector{1};
    selector.servers().set_servers(sample_servers(0, state.range(0)));
    const auto prompts = sample_prompts();
    bool leaving = false;
    std::size_t next = 0;
    while (state.KeepRunning()) {
        leaving = !leaving;
        selector.servers().set_listed_leaving("engine-00000", leaving);
        const auto& prompt = prompts[next++ % prompts.size()];
        const auto choice = selector.choose({prompt, true, {}}, time_ms{0});
        selector.finished(choice->name, backend_selector::ending::succeeded, time_ms{0});
    }
}
BENCHMARK(choose_after_change)->Arg(12)->Arg(100)->Arg(500)->Arg(2500);

// State of the server lists of 33 models that share the servers evenly.
void server_lists(benchmark::State& state)
{
    constexpr std::int64_t models = 33;
    const auto each = std::max<std::int64_t>(1, state.range(0) / models);
    std::vector<std::vector<backend_server>> lists;
    for (std::int64_t model = 0; model < models; ++model) {
        lists.push_back(sample_servers(model * each, each));
    }
    std::int64_t used = 0;
    while (state.KeepRunning()) {
        const auto before = heap_bytes();
        std::vector<backend_selector> all;
        for (const auto& list : lists) {
            all.emplace_back(1);
            all.back().servers().set_servers(list);
        }
        used = heap_bytes() - before;
        benchmark::DoNotOptimize(all);
    }
    state.counters["bytes"] = static_cast<double>(used);
    state.counters["bytes_per_server"] =
        static_cast<double>(used) / static_cast<double>(each * models);
}
BENCHMARK(server_lists)->Arg(33)->Arg(99)->Arg(495)->Arg(2500)->Unit(benchmark::kMicrosecond);
} // namespace
