#include "selector_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
void print(const char* name, const simulated_pool& pool, const simulated_result& result)
{
    UT_PRINT(
        fmt::format("{:<22} use {:.2f} seed {} own weight {} hedge {:>3} ms: first token p50 "
                    "{:>3} p95 {:>4} p99 {:>4} ms, cache hits {:.2f}, hedged {:.3f}, {} requests",
                    name, pool.utilisation, pool.seed, pool.options.own_weight,
                    pool.hedge_after.count(), result.p50_ms, result.p95_ms, result.p99_ms,
                    result.cache_hits, result.hedged, result.requests)
            .c_str());
}

template <selector_policy Policy>
simulated_result measure(const char* name, const simulated_pool& pool, Policy policy = Policy{})
{
    const auto result = selector_simulation<Policy>{pool, policy}.run();
    print(name, pool, result);
    return result;
}
} // namespace

TEST_GROUP(selector_comparison){};

// Guards the choice of the policy: it must keep the stated 0.41 s at p95 (section 1.4) at 75 % use
// and beat the baselines, although reports lag.
TEST(selector_comparison, affinity_with_bounded_load_beats_the_baselines)
{
    for (const double use : {0.6, 0.75, 0.9}) {
        for (const unsigned seed : {1U, 2U, 3U}) {
            simulated_pool pool;
            pool.utilisation = use;
            pool.seed = seed;
            const auto affinity = measure<affinity_bounded_load>("affinity_bounded_load", pool);
            const auto random = measure<random_choice>("random_choice", pool);
            const auto least = measure<least_reported_load>("least_reported_load", pool);
            CHECK(affinity.p95_ms <= random.p95_ms);
            CHECK(affinity.p95_ms <= least.p95_ms);
            CHECK(use > 0.75 || affinity.p95_ms <= 410);
        }
    }
}

// Records the settings of the policy that were weighed, and what hedging the first token brings.
TEST(selector_comparison, alternatives)
{
    for (const double use : {0.75, 0.9}) {
        simulated_pool pool;
        pool.utilisation = use;
        measure("sampled_choice(2)", pool, sampled_choice{2});
        measure("sampled_choice(4)", pool, sampled_choice{4});
        for (const double weight : {0.0, 1.0, 4.0}) {
            pool.options.own_weight = weight;
            measure("affinity, sample of 2", pool, affinity_bounded_load{1.25, 2});
            measure("affinity, sample of 4", pool, affinity_bounded_load{1.25, 4});
        }
        for (const std::int64_t after : {350, 700}) {
            pool.hedge_after = time_ms{after};
            measure<affinity_bounded_load>("affinity_bounded_load", pool);
        }
    }
}
