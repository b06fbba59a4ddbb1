#include "sample_tables.h"

#include "budget/budget.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace
{
using namespace jujubevalve;

// Builds and serializes a segment with the given number of settled requests, spread over up to
// 1,000 budgets, and 100 servers with one open request each.
void write_segment(benchmark::State& state)
{
    constexpr std::int64_t max_budgets = 1000;
    constexpr std::int64_t servers = 100;
    const auto requests = state.range(0);
    std::size_t bytes = 0;
    while (state.KeepRunning()) {
        segment_writer writer{"entry-001-0123456789abcdef"};
        std::vector<budget_spend> spent;
        for (std::int64_t i = 0; i < requests; ++i) {
            writer.add_bill({sample_account(i % 4600), fmt::format("clerk-request-{:016x}", i),
                             sample_budget(i % max_budgets), 300});
        }
        for (std::int64_t i = 0; i < std::min(requests, max_budgets); ++i) {
            spent.push_back({sample_budget(i), 1'000'000 + i});
        }
        std::vector<sequence_mark> marks;
        std::vector<open_request> open;
        for (std::int64_t i = 0; i < servers; ++i) {
            marks.push_back({fmt::format("engine-{:05}", i), 100'000});
            open.push_back({fmt::format("engine-{:05}", i), 99'999, sample_budget(i), 500});
        }
        const auto cut = writer.cut(std::move(spent), std::move(marks), std::move(open));
        const auto text = to_text(*cut);
        bytes = text.size();
        benchmark::DoNotOptimize(text);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytes_per_request"] =
        static_cast<double>(bytes) / static_cast<double>(requests);
}
BENCHMARK(write_segment)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(3000)
    ->Arg(10'000)
    ->Unit(benchmark::kMicrosecond);
} // namespace
