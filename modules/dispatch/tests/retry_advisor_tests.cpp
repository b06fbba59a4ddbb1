#include "dispatch/retry_advisor.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace jujubevalve;

TEST_GROUP(retry_advisor)
{
    retry_advisor advisor{7};

    std::vector<time_ms> delays(const refusal_facts& refusal)
    {
        std::vector<time_ms> drawn;
        for (int i = 0; i < 500; ++i) {
            drawn.push_back(advisor.retry_after(refusal));
        }
        std::sort(drawn.begin(), drawn.end());
        return drawn;
    }
};

// Load pattern: room is about to come back, and whoever returns much later finds it taken or has
// missed its objective.
TEST(retry_advisor, callers_return_soon_after_there_is_room)
{
    const auto drawn = delays({refusal_cause::servers_full, time_ms{40}});
    CHECK(drawn.front() >= time_ms{40});
    CHECK(drawn.back() <= time_ms{80});
}

// Load pattern: many callers are refused together, for a cause that lasts for seconds.
TEST(retry_advisor, callers_that_wait_for_long_do_not_return_together)
{
    const auto drawn = delays({refusal_cause::budget_exhausted, seconds(2)});
    CHECK(drawn.front() >= seconds(2));
    CHECK(drawn.back() <= seconds(2) + time_ms{500});
    CHECK(drawn.back() - drawn.front() >= time_ms{400});
}

// Failure: a cause that has passed by the time of the refusal must not bring all back at once.
TEST(retry_advisor, returns_are_spread_although_there_is_room_now)
{
    const auto drawn = delays({refusal_cause::instance_overloaded, time_ms{0}});
    CHECK(drawn.front() >= time_ms{0});
    CHECK(drawn.back() - drawn.front() >= time_ms{15});
}

// Failure: only this instance lacks something, and the caller may find it at another one at once.
TEST(retry_advisor, callers_that_others_may_serve_return_sooner)
{
    const auto here = delays({refusal_cause::no_server, std::nullopt});
    const auto elsewhere = delays({refusal_cause::budget_unavailable, std::nullopt});
    CHECK(elsewhere.back() < here.front());
}
