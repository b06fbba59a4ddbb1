#include "router/poll_interval.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(poll_interval){};

// Guards against slower polling in deployments of up to nine instances.
TEST(poll_interval, small_fleet_uses_the_base_interval)
{
    for (const auto live : {0, 1, 3, 9}) {
        LONGS_EQUAL(2000, poll_interval(time_ms{2000}, live, time_ms{8000}).count());
    }
}

// Guards against platform load that grows with the number of routers.
TEST(poll_interval, total_read_rate_does_not_exceed_that_of_nine_routers)
{
    const auto max_interval = minutes(60);
    for (const auto live : {9, 27, 81, 450}) {
        const auto interval = poll_interval(time_ms{1000}, live, max_interval);
        CHECK(live * 1000 / interval.count() <= 9);
    }
}

// Guards against intervals that let a router learn of a configuration too late.
TEST(poll_interval, interval_does_not_exceed_the_maximum)
{
    LONGS_EQUAL(8000, poll_interval(time_ms{2000}, 450, time_ms{8000}).count());
}

// Guards against the maximum shortening a longer interval set by an operator.
TEST(poll_interval, base_above_the_maximum_is_kept)
{
    LONGS_EQUAL(10'000, poll_interval(time_ms{10'000}, 450, time_ms{8000}).count());
}
