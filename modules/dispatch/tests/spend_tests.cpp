#include "budget/grant_row.h"
#include "budget/ledger_row.h"
#include "budget/row_keys.h"
#include "config/config_rows.h"
#include "dispatch/spend_ceilings.h"
#include "dispatch/spend_row.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace jujubevalve;

TEST_GROUP(spend_ceilings)
{
    spend_ceilings ceilings{{time_ms{500}}};
    time_ms now{100'000};

    void publish(const std::vector<spend_facts>& facts, time_ms later = time_ms{0})
    {
        now = now + later;
        const auto plan = ceilings.plan(facts, now);
        CHECK(plan.has_value());
        ceilings.sent(*plan, now);
        ceilings.acknowledged();
    }
};

// Guards against spend above the published ceilings, which a successor would return to the ledger.
TEST(spend_ceilings, no_spend_is_allowed_above_a_ceiling_that_may_be_in_force)
{
    const auto plan = ceilings.plan({{"crew", 0, 100, 0}}, now);
    ceilings.sent(*plan, now);
    CHECK(ceilings.allow("crew", 100, now));
    CHECK_FALSE(ceilings.allow("crew", 101, now));
    ceilings.acknowledged();
    CHECK(ceilings.allow("crew", 100, now));
    CHECK_FALSE(ceilings.allow("crew", 1'000, now));
}

// The grant of an account without a published ceiling is never reclaimed, so it needs no limit.
TEST(spend_ceilings, an_account_that_was_never_published_has_no_limit)
{
    publish({{"crew", 0, 100, 0}});
    CHECK(ceilings.allow("office", 1'000'000, now));
    publish({{"office", 0, 0, 0}});
    CHECK(ceilings.allow("office", 1'000'000, now));
}

// Guards against refusing callers during a store outage although demand stays as it was before.
TEST(spend_ceilings, leave_headroom_for_the_demand_during_an_outage)
{
    publish({{"crew", 1000, 10, 2.0}});
    for (int ms = 0; ms <= 10'000; ms += 10) {
        CHECK(ceilings.allow("crew", 1000 + 2 * ms, now + time_ms{ms}));
    }
}

// Guards against refusing the second request of an account that had none before the store failed.
TEST(spend_ceilings, leave_room_for_a_request_per_second_without_demand)
{
    constexpr token_count request = 500;
    publish({{"crew", 0, request, 0, request}});
    for (int seconds_later = 0; seconds_later <= 10; ++seconds_later) {
        CHECK(ceilings.allow("crew", request * (1 + seconds_later), now + seconds(seconds_later)));
    }
}

// Guards against stranding many seconds' worth of tokens when all processes are killed at once.
TEST(spend_ceilings, headroom_right_after_a_write_is_small)
{
    publish({{"crew", 1000, 10, 2.0}});
    CHECK_EQUAL(1000 + 2 * 400, ceilings.bound("crew", now));
    CHECK_EQUAL(1000 + 2 * 400 + 3 * 500, ceilings.bound("crew", now + time_ms{500}));
}

// Guards against stranding more than the given fraction of the remaining tokens.
TEST(spend_ceilings, max_headroom_limits_base_and_growth)
{
    publish({{"crew", 1000, 10, 2.0, 3000}});
    CHECK_EQUAL(1000 + 2 * 400, ceilings.bound("crew", now));
    publish({{"crew", 1000, 10, 2.0, 500}}, time_ms{500});
    CHECK_EQUAL(1000 + 500, ceilings.bound("crew", now));
    CHECK(ceilings.bound("crew", now + time_ms{2500}) <= 1000 + 500 + 4 * 500);
}

// Load pattern: a large account's demand, of which a few seconds are several percent of its budget.
// Processes that restart within seconds would strand that much each time.
TEST(spend_ceilings, max_early_headroom_limits_base_and_growth_together)
{
    const spend_facts large{"crew", 1000, 10, 20.0, max_token_count, 50'000, true, 9000};
    publish({large});
    CHECK_EQUAL(1000 + 20 * 400, ceilings.bound("crew", now));
    CHECK(ceilings.bound("crew", now + time_ms{2500}) <= 1000 + 9000);
    CHECK(ceilings.bound("crew", now + seconds(5)) >= 1000 + 9000 + 20'000);
}

// Load pattern: an instance whose link is congested. Its requests would wait for each write.
TEST(spend_ceilings, leave_room_for_the_demand_while_a_slow_write_is_in_flight)
{
    const spend_facts facts{"crew", 1000, 10, 2.0, max_token_count, 50'000, true, 1500};
    const auto plan = ceilings.plan({facts}, now);
    ceilings.sent(*plan, now);
    ceilings.acknowledged(time_ms{300});
    publish({facts}, time_ms{500});
    CHECK_EQUAL(1000 + 2 * (400 + 300), ceilings.bound("crew", now));
    CHECK(ceilings.bound("crew", now + time_ms{2500}) <= 1000 + 1500);
}

// Guards against refusing all requests during a long store outage.
TEST(spend_ceilings, the_whole_stock_may_be_spent_in_a_long_outage)
{
    publish({{"crew", 0, 10, 0, 10, 50'000}});
    CHECK_FALSE(ceilings.allow("crew", 10'000, now + time_ms{2500}));
    CHECK_FALSE(ceilings.allow("crew", 50'000, now + time_ms{7000}));
    CHECK(ceilings.allow("crew", 50'000, now + time_ms{7500}));
}

// Guards against overspending when it is unknown which of two rows a successor will find.
TEST(spend_ceilings, an_unacknowledged_write_limits_in_addition_to_the_acknowledged_one)
{
    publish({{"crew", 0, 500, 0}});
    now = now + time_ms{1000};
    const auto lower = ceilings.plan({{"crew", 100, 10, 0}}, now);
    ceilings.sent(*lower, now);
    ceilings.failed();
    CHECK_EQUAL(110, ceilings.bound("crew", now));
    const auto higher = ceilings.plan({{"crew", 100, 2000, 0}}, now + time_ms{500});
    ceilings.sent(*higher, now + time_ms{500});
    CHECK_EQUAL(115, ceilings.bound("crew", now + time_ms{500}));
    ceilings.acknowledged();
    CHECK_EQUAL(2100, ceilings.bound("crew", now + time_ms{500}));
}

TEST(spend_ceilings, a_refused_total_is_published_at_once)
{
    publish({{"crew", 0, 10, 0}});
    CHECK_FALSE(ceilings.plan({{"crew", 0, 10, 0}}, now).has_value());
    CHECK_FALSE(ceilings.allow("crew", 5'000, now));
    publish({{"crew", 0, 10, 0}});
    CHECK(ceilings.allow("crew", 5'000, now));
}

// Guards against stranding many tokens of an account whose demand has ceased.
TEST(spend_ceilings, are_lowered_when_demand_ceases)
{
    publish({{"crew", 0, 10, 5.0}});
    now = now + seconds(1);
    CHECK(ceilings.allow("crew", 9'000, now));
    const auto plan = ceilings.plan({{"crew", 2'000, 0, 0}}, now);
    CHECK(plan->at("crew") == (spend_ceiling{2'000, 0, 0}));
    ceilings.sent(*plan, now);
    CHECK_FALSE(ceilings.allow("crew", 9'000, now));
}

TEST_GROUP(reclaim)
{
    spend_row terminated{"i-1", "127.0.0.1:80", time_ms{5000}, {{"crew", {200, 100, 1000}}}};

    static std::vector<table_row> rows(bool closed = false)
    {
        grant_row grant;
        grant.granted = 1000;
        grant.closed = closed;
        return {{ledger_key("crew"), to_text(ledger_row{1500}), 7},
                {grant_key("crew", "i-1"), to_text(grant), 8}};
    }
};

TEST(reclaim, returns_what_is_above_the_ceiling)
{
    const auto change = plan_reclaim(terminated, seconds(1), rows());
    CHECK(change.has_value());
    CHECK_EQUAL(2U, change->conditions.size());
    CHECK_EQUAL(300, parse_grant_row(change->writes[0].value)->granted);
    CHECK(parse_grant_row(change->writes[0].value)->closed);
    CHECK_EQUAL(800, parse_ledger_row(change->writes[1].value)->allocated);
}

// Guards against returning tokens that were spent while the store was unreachable.
TEST(reclaim, charges_more_the_later_the_process_may_have_ended)
{
    const auto charged = [this](time_ms age) {
        return parse_grant_row(plan_reclaim(terminated, age, rows())->writes[0].value)->granted;
    };
    CHECK_EQUAL(200, charged(time_ms{-1}));
    CHECK_EQUAL(200 + 250, charged(time_ms{2500}));
    CHECK_EQUAL(200 + 300 + 500, charged(time_ms{3000}));
    CHECK_EQUAL(1000, charged(time_ms{60'000}));
}

// Guards against writing the ledger when the whole grant is charged and nothing is returned.
TEST(reclaim, a_full_charge_leaves_the_ledger_unchanged)
{
    const auto change = plan_reclaim(terminated, seconds(60), rows());
    CHECK_EQUAL(1U, change->writes.size());
}

// Guards against returning the same tokens twice.
TEST(reclaim, leaves_closed_grants_unchanged)
{
    const auto change = plan_reclaim(terminated, seconds(1), rows(true));
    CHECK(change->writes.empty());
}

TEST(reclaim, a_spend_row_round_trips_through_json)
{
    CHECK(*parse_spend_row(to_text(terminated)) == terminated);
    CHECK_FALSE(parse_spend_row("{\"incarnation\":1}").has_value());
}
