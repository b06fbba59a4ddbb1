#include "dispatch/call_pacer.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
int calls_made(call_pacer& pacer, time_ms from, time_ms to)
{
    int count = 0;
    for (auto now = from; now < to; now = now + time_ms{1}) {
        if (pacer.may_call(now)) {
            pacer.called();
            ++count;
        }
    }
    return count;
}
} // namespace

TEST_GROUP(call_pacer)
{
    time_ms start{1'000'000};
};

// Load pattern: all instances of a large fleet start at once and update the same rows.
TEST(call_pacer, a_large_fleet_stays_within_the_rate)
{
    constexpr int instances = 68;
    call_pacer pacer{750};
    pacer.set_fleet({instances, instances, true});
    CHECK(calls_made(pacer, start, start + seconds(10)) * instances <= 750 * 10 + 750 * 3);
}

// Load pattern: 15 large machines of 295 carry the callers, and each of them needs refills of all
// accounts within the first seconds.
TEST(call_pacer, the_instances_that_carry_the_callers_share_most_of_the_rate)
{
    constexpr int live = 295;
    constexpr int listed = 15;
    call_pacer carrying{2000};
    carrying.set_fleet({live, listed, true});
    call_pacer other{2000};
    other.set_fleet({live, listed, false});
    const auto calls_of_one = calls_made(carrying, start, start + seconds(10));
    const auto calls_of_other = calls_made(other, start, start + seconds(10));
    CHECK(calls_of_one >= 10 * 2000 / listed / 2);
    CHECK(calls_of_one * listed + calls_of_other * (live - listed) <= 2000 * 13 * 3 / 2);
}

// Guards against a busy loop of calls that are refused immediately.
TEST(call_pacer, backs_off_longer_after_each_refusal)
{
    call_pacer pacer{1000};
    for (int i = 0; i < 8; ++i) {
        pacer.refused(start);
    }
    CHECK_FALSE(pacer.may_call(start + time_ms{700}));
    CHECK(pacer.may_call(start + time_ms{900}));
    pacer.answered();
    pacer.refused(start + seconds(1));
    CHECK(pacer.may_call(start + time_ms{1060}));
}

// Load pattern: many instances update one ledger, so most first attempts to write end in a
// conflict.
TEST(call_pacer, a_conflict_refunds_half_a_call)
{
    call_pacer pacer{10};
    const auto made = calls_made(pacer, start, start + time_ms{1});
    CHECK_EQUAL(1, made);
    while (pacer.may_call(start)) {
        pacer.called();
    }
    pacer.conflicted();
    CHECK_FALSE(pacer.may_call(start));
    pacer.conflicted();
    CHECK(pacer.may_call(start));
}
