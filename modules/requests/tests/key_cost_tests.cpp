#include "requests/requests.h"

#include <CppUTest/TestHarness.h>
#include <fmt/core.h>
#include <malloc.h>

using namespace jujubevalve;

namespace
{
struct no_directory {
    [[nodiscard]] static incarnation_info find(const std::string& /*name*/) { return {}; }
};

struct key_cost {
    int platform_writes{0};
    int refused{0};
    int ran{0};
};

/// Simulates one hour with 10 requests per second. The platform is down from 1800 s to 2400 s.
key_cost simulate_hour(bool issued)
{
    const key_prefix prefixes{"secret"};
    const key_home home{"a-1", prefixes};
    const key_epochs epochs;
    execution_registry registry{"a-1", epochs};
    const no_directory directory;
    key_cost cost;
    for (int i = 0; i < 36'000; ++i) {
        const auto now = time_ms{i * 100};
        const bool platform_down = now >= seconds(1800) && now < seconds(2400);
        const auto key = (issued ? prefixes.issue("a-1", epochs.at(now), "acct") : std::string{}) +
                         fmt::format("order-{}", i);
        auto decision = home.decide("acct", key, directory);
        const bool needs_intent = decision.action == home_action::write_intent;
        const auto id =
            registry.begin({"acct", key, "aa", false, epochs.at(now), 1, !needs_intent}, now).id;
        if (needs_intent) {
            cost.platform_writes += platform_down ? 0 : 1;
            const auto outcome =
                platform_down ? intent_outcome::unavailable : intent_outcome::inserted;
            decision = home.after_intent("acct", key, {outcome, {"a-1", 0}, 1}, directory);
        }
        if (decision.action != home_action::run_here) {
            CHECK(registry.refuse(id, decision.error, now) == run_outcome::not_run);
            ++cost.refused;
            continue;
        }
        CHECK(registry.confirm_home(id, epochs.at(now), now) && registry.mark_sent(id));
        registry.mark_answered(id, {}, now);
        ++cost.ran;
    }
    return cost;
}
} // namespace

TEST_GROUP(key_cost){};

// Guards against platform writes for requests with issued keys, and against refusing such requests
// while the platform is down.
TEST(key_cost, issued_keys_need_no_platform)
{
    for (const bool issued : {true, false}) {
        const auto cost = simulate_hour(issued);
        UT_PRINT(fmt::format("{} keys: {} platform writes, {} refused, {} ran",
                             issued ? "issued" : "caller-generated", cost.platform_writes,
                             cost.refused, cost.ran)
                     .c_str());
        CHECK_EQUAL(36'000, cost.ran + cost.refused);
        CHECK(!issued || (cost.platform_writes == 0 && cost.refused == 0));
    }
}

// Guards the memory limit: a full registry fits into the 64 MB that a node has for control work.
TEST(key_cost, a_record_is_small)
{
    constexpr std::size_t count = 100'000;
    const auto before = mallinfo2().uordblks;
    execution_registry registry{"a-1", key_epochs{}};
    for (std::size_t i = 0; i < count; ++i) {
        const auto id = registry.begin({"acct", std::to_string(i), "aa", false}, {}).id;
        CHECK(registry.mark_sent(id));
        registry.mark_answered(id, {200, "application/json", std::string(100, 'x')}, {});
    }
    const auto bytes = (mallinfo2().uordblks - before) / count;
    UT_PRINT(
        fmt::format("{} bytes for a finished request with an answer of 100 bytes", bytes).c_str());
    CHECK(bytes * registry_limits{}.max_non_idempotent <= 64U * 1024 * 1024);
}
