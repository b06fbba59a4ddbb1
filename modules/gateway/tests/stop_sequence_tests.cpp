#include "gateway/stop_sequence.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(stop_sequence)
{
    static constexpr time_ms limit{8000};
    stop_sequence plan{plan_stop(limit, time_ms{2000})};
};

// Guards against steps out of order or beyond the limit, whatever the limit is.
TEST(stop_sequence, comes_to_its_end_before_the_limit)
{
    for (time_ms each{300}; each <= time_ms{60'000}; each = each + time_ms{100}) {
        const auto planned = plan_stop(each, time_ms{2000});
        CHECK(planned.close_idle_after <= planned.stop_accepting_after);
        CHECK(planned.stop_accepting_after <= planned.end_after);
        CHECK(planned.end_after < each);
    }
}

// Guards against a late request that is sent and then cut, and against refusing one that has time.
TEST(stop_sequence, sends_late_requests_only_if_they_end_in_time)
{
    const time_ms duration{2400};
    CHECK(plan.may_send(time_ms{0}, duration));
    CHECK(plan.may_send(plan.stop_accepting_after, time_ms{60'000}));
    CHECK(plan.may_send(plan.end_after - duration, duration));
    CHECK_FALSE(plan.may_send(plan.end_after - duration + time_ms{1}, duration));
    CHECK_FALSE(plan.may_send(plan.end_after, time_ms{1}));
}
