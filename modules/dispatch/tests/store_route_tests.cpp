#include "dispatch/store_route.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace jujubevalve;

TEST_GROUP(store_route)
{
    store_route route{"store:1"};
    time_ms now{100'000};

    void lose_straight_way()
    {
        CHECK(route.probed("store:1", true));
        route.note_failure();
    }
};

// Guards against staying cut off while other instances reach the store.
TEST(store_route, goes_through_another_instance_while_cut_off)
{
    lose_straight_way();
    route.set_relays({"a:1", "b:1"});
    CHECK(route.next_probes(now) == (std::vector<std::string>{"store:1", "a:1"}));
    CHECK_FALSE(route.probed("a:1", false));
    CHECK(route.next_probes(now + time_ms{250}) == (std::vector<std::string>{"store:1", "b:1"}));
    CHECK(route.probed("b:1", true));
    CHECK(route.works());
    CHECK_FALSE(route.is_straight());
    STRCMP_EQUAL("b:1", route.address().c_str());
}

// Guards against burdening another instance after the cut has healed.
TEST(store_route, takes_the_straight_way_as_soon_as_it_works)
{
    lose_straight_way();
    route.set_relays({"a:1"});
    static_cast<void>(route.next_probes(now));
    CHECK(route.probed("a:1", true));
    CHECK(route.next_probes(now + time_ms{250}).empty());
    CHECK(route.next_probes(now + time_ms{1000}) == (std::vector<std::string>{"store:1"}));
    CHECK(route.probed("store:1", true));
    CHECK(route.is_straight());
    CHECK(route.next_probes(now + time_ms{3000}).empty());
}

// Guards against many probes at once when a relay does not answer.
TEST(store_route, probes_one_relay_at_a_time)
{
    lose_straight_way();
    route.set_relays({"a:1", "b:1"});
    CHECK_EQUAL(2U, route.next_probes(now).size());
    CHECK_EQUAL(1U, route.next_probes(now + time_ms{250}).size());
}

// Guards against changing ways because of a late answer to an earlier probe.
TEST(store_route, a_late_answer_does_not_change_a_way_that_works)
{
    lose_straight_way();
    route.set_relays({"a:1", "b:1"});
    static_cast<void>(route.next_probes(now));
    CHECK(route.probed("store:1", true));
    CHECK_FALSE(route.probed("a:1", true));
    CHECK(route.is_straight());
}

TEST(store_route, a_relay_that_fails_is_left)
{
    lose_straight_way();
    route.set_relays({"a:1"});
    static_cast<void>(route.next_probes(now));
    CHECK(route.probed("a:1", true));
    route.note_failure();
    CHECK_FALSE(route.works());
    CHECK_FALSE(route.next_probes(now).empty());
}
