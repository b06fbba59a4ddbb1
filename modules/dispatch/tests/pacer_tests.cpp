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
    pacer.set_instances(instances);
    CHECK(calls_made(pacer, start, start + seconds(10)) * instances <= 750 * 10 + 750 * 3);
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
