#include "dispatch/store_route.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace jujubevalve;

TEST_GROUP(store_route)
{
    store_route route{"store:1"};
    time_ms now{100'000};

    void lose_direct_route()
    {
        CHECK(route.probed("store:1", true));
        route.note_failure();
    }
};

// Guards against staying cut off while other instances can reach the store.
TEST(store_route, uses_a_relay_while_the_direct_route_fails)
{
    lose_direct_route();
    route.set_relays({"a:1", "b:1"});
    CHECK(route.next_probes(now) == (std::vector<std::string>{"store:1", "a:1"}));
    CHECK_FALSE(route.probed("a:1", false));
    CHECK(route.next_probes(now + time_ms{250}) == (std::vector<std::string>{"store:1", "b:1"}));
    CHECK(route.probed("b:1", true));
    CHECK(route.is_working());
    CHECK_FALSE(route.is_direct());
    STRCMP_EQUAL("b:1", route.address().c_str());
}

// Guards against loading another instance after the direct route has recovered.
TEST(store_route, returns_to_the_direct_route_as_soon_as_it_works)
{
    lose_direct_route();
    route.set_relays({"a:1"});
    static_cast<void>(route.next_probes(now));
    CHECK(route.probed("a:1", true));
    CHECK(route.next_probes(now + time_ms{250}).empty());
    CHECK(route.next_probes(now + time_ms{1000}) == (std::vector<std::string>{"store:1"}));
    CHECK(route.probed("store:1", true));
    CHECK(route.is_direct());
    CHECK(route.next_probes(now + time_ms{3000}).empty());
}

// Guards against many concurrent probes when a relay does not respond.
TEST(store_route, probes_one_relay_at_a_time)
{
    lose_direct_route();
    route.set_relays({"a:1", "b:1"});
    CHECK_EQUAL(2U, route.next_probes(now).size());
    CHECK_EQUAL(1U, route.next_probes(now + time_ms{250}).size());
}

// Guards against changing the route because of a late response to an earlier probe.
TEST(store_route, a_late_response_does_not_replace_a_working_route)
{
    lose_direct_route();
    route.set_relays({"a:1", "b:1"});
    static_cast<void>(route.next_probes(now));
    CHECK(route.probed("store:1", true));
    CHECK_FALSE(route.probed("a:1", true));
    CHECK(route.is_direct());
}

TEST(store_route, probes_for_another_route_after_a_relay_failure)
{
    lose_direct_route();
    route.set_relays({"a:1"});
    static_cast<void>(route.next_probes(now));
    CHECK(route.probed("a:1", true));
    route.note_failure();
    CHECK_FALSE(route.is_working());
    CHECK_FALSE(route.next_probes(now).empty());
}

// Load pattern: hundreds of instances are cut off at once and look for the store's return.
TEST(store_route, a_large_fleet_probes_less_often)
{
    constexpr int instances = 300;
    lose_direct_route();
    route.set_instances(instances);
    int probes = 0;
    for (int tick = 0; tick < 40; ++tick) { // 10 s
        probes += static_cast<int>(route.next_probes(now + time_ms{250 * tick}).size());
    }
    CHECK(probes * instances <= 250 * 10 + instances);
    CHECK(probes >= 5);
}
