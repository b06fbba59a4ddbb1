#include "heap_use.h"

#include "dispatch/prompt_quarantine.h"

#include <benchmark/benchmark.h>

namespace
{
using namespace jujubevalve;

constexpr std::size_t blocks_per_prompt = 8;

/// A crash notice whose prompts share no block with any other.
crash_notice sample_crash(std::uint64_t number, std::size_t prompts, time_ms at)
{
    crash_notice notice{number, 1, at, {}};
    for (std::size_t i = 0; i < prompts; ++i) {
        shared_prompt prompt;
        for (std::size_t j = 0; j < blocks_per_prompt; ++j) {
            prompt.push_back((number << 20U) + i * blocks_per_prompt + j);
        }
        notice.suspects.push_back(std::move(prompt));
    }
    return notice;
}

// A further crash of a server when the board holds as many notices as it can: the oldest one goes,
// and all evidence is weighed. The argument is the number of blocks in all crash notices.
void crash_at_full_board(benchmark::State& state)
{
    const notice_board_options options;
    const auto prompts =
        static_cast<std::size_t>(state.range(0)) / options.max_notices / blocks_per_prompt;
    const auto before = heap_bytes();
    notice_board board{options};
    prompt_quarantine quarantine{board, "instance-0"};
    time_ms now{1'000'000};
    std::uint64_t crash = 0;
    for (; crash < options.max_notices; ++crash) {
        now = now + seconds(1);
        board.put(sample_crash(crash, prompts, now), now);
    }
    const auto used = heap_bytes() - before;
    // Evaluated about as often as an instance does, so that no pause has to be caught up with.
    constexpr time_ms interval{500};
    for (int i = 0; i < 4; ++i) {
        now = now + interval;
        (void)quarantine.evaluate(now);
    }
    while (state.KeepRunning()) {
        board.put(sample_crash(crash++, prompts, now), now);
        now = now + interval; // the notice has settled
        benchmark::DoNotOptimize(quarantine.evaluate(now));
    }
    state.counters["bytes"] = static_cast<double>(used);
}
BENCHMARK(crash_at_full_board)->Arg(1 << 15)->Arg(1 << 16)->Unit(benchmark::kMillisecond);
} // namespace
