#include "gateway/unreadable_inputs.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(unreadable_inputs){};

// Guards against a log that a fault in every response of a service fills.
TEST(unreadable_inputs, admits_one_line_a_minute_for_each_field)
{
    event_throttle throttle{time_ms{60'000}};
    CHECK((throttle.admit("load", time_ms{5}) == 1));
    CHECK((throttle.admit("limit", time_ms{6}) == 1));
    for (std::int64_t ms = 10; ms < 60'000; ms += 10) {
        CHECK_FALSE(throttle.admit("load", time_ms{ms}).has_value());
    }
    CHECK((throttle.admit("load", time_ms{60'005}) == 6000));
}

// Guards against inputs that are dropped in silence: each one is counted, also between log lines.
TEST(unreadable_inputs, counts_each_input)
{
    decision_log log{0};
    gateway_metrics metrics;
    unreadable_inputs inputs{log, metrics};
    inputs.record("load", "s1", "a,b", time_ms{1});
    inputs.record("load", "s2", "", time_ms{2});
    CHECK(metrics.to_text().find("unreadable_inputs 2\n") != std::string::npos);
}
