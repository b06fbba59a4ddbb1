#include "budget/tests/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::testing;

TEST_GROUP(grant_tracker){};
TEST_GROUP(grant_planner){};
TEST_GROUP(grant_policy){};

namespace
{
const demand_driven uncapped_policy{minutes(5), 1};

/// Requests `tokens` and refills once, so that the grant covers them if the budget allows it.
void fill(fleet& cluster, node& to, token_count tokens)
{
    to.book.reserve(budget_name, tokens, cluster.now);
    cluster.now = cluster.now + seconds(10);
    cluster.refill(to, uncapped_policy);
}
} // namespace

// Guards against ending a reservation twice, and against losing or creating tokens when it ends.
TEST(grant_tracker, a_reservation_ends_once)
{
    fleet cluster{1, 1000};
    auto& book = cluster.nodes[0]->book;
    fill(cluster, *cluster.nodes[0], 100);
    const auto before = book.available(budget_name);
    const auto first = book.reserve(budget_name, 40, cluster.now);
    CHECK_EQUAL(before - 40, book.available(budget_name));
    CHECK(book.settle(first.id, 25, cluster.now));
    CHECK(!book.settle(first.id, 25, cluster.now));
    CHECK(!book.release(first.id));
    CHECK_EQUAL(before - 25, book.available(budget_name));
    const auto second = book.reserve(budget_name, 40, cluster.now);
    CHECK(book.release(second.id));
    const auto third = book.reserve(budget_name, 10, cluster.now);
    CHECK(book.settle_in_full(third.id, cluster.now));
    CHECK_EQUAL(35, book.spent(budget_name));
    CHECK_EQUAL(before - 35, book.available(budget_name));
}

// Guards against usage above the reservation that is not charged, and against new reservations
// while the available tokens are negative.
TEST(grant_tracker, usage_above_the_reservation_is_charged_and_counted)
{
    fleet cluster{1, 1000};
    auto& book = cluster.nodes[0]->book;
    fill(cluster, *cluster.nodes[0], 10);
    const auto held = book.available(budget_name);
    const auto made = book.reserve(budget_name, held, cluster.now);
    book.settle(made.id, held + 5, cluster.now);
    CHECK_EQUAL(-5, book.available(budget_name));
    CHECK_EQUAL(1, book.counts().usage_above_reservation);
    CHECK(!book.reserve(budget_name, 0, cluster.now));
}

// Guards against wrong refusal codes: `budget_exhausted` only if the ledger is known to have too
// few tokens.
TEST(grant_tracker, refusals_report_the_correct_code)
{
    fleet cluster{1, 100};
    auto& router = *cluster.nodes[0];
    auto refused = router.book.reserve(budget_name, 10, cluster.now);
    CHECK(refused.code == result_code::budget_unavailable);
    CHECK(refused.refill_may_help);
    router.partitioned = true;
    cluster.refill(router, uncapped_policy);
    refused = router.book.reserve(budget_name, 10, cluster.now);
    CHECK(refused.code == result_code::budget_unavailable);
    CHECK(!refused.refill_may_help);
    router.partitioned = false;
    cluster.now = cluster.now + seconds(30);
    cluster.refill(router, uncapped_policy);
    CHECK(static_cast<bool>(router.book.reserve(budget_name, 10, cluster.now)));
    refused = router.book.reserve(budget_name, 101, cluster.now);
    cluster.now = cluster.now + seconds(30);
    cluster.refill(router, uncapped_policy);
    refused = router.book.reserve(budget_name, 101, cluster.now);
    CHECK(refused.code == result_code::budget_exhausted);
    CHECK(!refused.refill_may_help);
    CHECK(router.book.reserve(budget_name, -1, cluster.now).code ==
          result_code::invalid_token_count);
}

// Guards against a top-up of an exhausted budget that goes undetected: the next ledger read must
// find it.
TEST(grant_tracker, a_top_up_is_detected_after_exhaustion)
{
    fleet cluster{1, 50};
    auto& router = *cluster.nodes[0];
    fill(cluster, router, 60);
    CHECK(!router.book.reserve(budget_name, 60, cluster.now));
    cluster.set_limit(100);
    cluster.now = cluster.now + seconds(2);
    CHECK(router.book.reserve(budget_name, 60, cluster.now).refill_may_help);
    cluster.refill(router, uncapped_policy);
    CHECK(static_cast<bool>(router.book.reserve(budget_name, 60, cluster.now)));
}

// Guards against using an increase whose response was lost before the row shows it, and against not
// using it after that.
TEST(grant_tracker, a_lost_increase_counts_once_the_row_shows_it)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    router.book.reserve(budget_name, 30, cluster.now);
    cluster.refill(router, uncapped_policy, commit_fate::lost_after);
    CHECK_EQUAL(0, router.book.granted(budget_name));
    CHECK(router.book.counts().refills_unknown == 1);
    const auto row = parse_grant_row(cluster.platform.value(grant_key(budget_name, "router-0")));
    CHECK(row->granted >= 30);
    cluster.now = cluster.now + seconds(10);
    router.book.reserve(budget_name, 30, cluster.now);
    cluster.refill(router, uncapped_policy);
    // The shortage is two refusals of 30 by now; the increase with the lost response covers the
    // first.
    CHECK_EQUAL(60, router.book.granted(budget_name));
    CHECK_EQUAL(60, cluster.allocated());
}

// Guards against overspend when a return is applied late, after its tokens were made available
// again.
TEST(grant_tracker, a_lost_return_stays_debited_until_it_cannot_apply)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    fill(cluster, router, 100);
    const auto granted = router.book.granted(budget_name);
    cluster.now = cluster.now + minutes(71);
    cluster.refill(router, uncapped_policy, commit_fate::delayed);
    CHECK_EQUAL(0, router.book.available(budget_name));
    cluster.now = cluster.now + seconds(10);
    router.book.reserve(budget_name, 10, cluster.now);
    // The row has been read, but no later write of the incarnation has succeeded: still debited.
    cluster.refill(router, uncapped_policy, commit_fate::not_sent);
    CHECK_EQUAL(0, router.book.available(budget_name));
    cluster.now = cluster.now + seconds(10);
    router.book.reserve(budget_name, 10, cluster.now);
    cluster.refill(router, uncapped_policy);
    cluster.platform.flush_late();
    CHECK(router.book.granted(budget_name) >= granted);
    CHECK_EQUAL(std::string{}, cluster.broken());
}

// Guards against memory that grows with every budget ever used, and against cumulative spend that
// restarts at 0 when a dropped budget is used again.
TEST(grant_tracker, idle_budgets_are_returned_and_dropped_and_keep_their_spend)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    fill(cluster, router, 100);
    cluster.reserve(router, 40);
    cluster.settle(router, 0, 40);
    router.book.take_changed_spend();
    cluster.now = cluster.now + minutes(71);
    cluster.refill(router, uncapped_policy);
    router.book.drop_unused(cluster.now);
    CHECK(router.book.budgets().empty());
    CHECK_EQUAL(40, cluster.allocated());
    CHECK_EQUAL(40, router.book.spent(budget_name));
    fill(cluster, router, 100);
    cluster.reserve(router, 60);
    cluster.settle(router, 0, 60);
    CHECK(router.book.take_changed_spend() == (std::vector<budget_spend>{{budget_name, 100}}));
    CHECK_EQUAL(std::string{}, cluster.broken());
}

// Guards against a drain that closes a grant while requests are running, or that strands tokens.
TEST(grant_tracker, drain_closes_after_the_last_request_and_returns_the_rest)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    fill(cluster, router, 100);
    cluster.reserve(router, 40);
    fleet::begin_drain(router);
    CHECK(router.book.reserve(budget_name, 1, cluster.now).code == result_code::draining);
    cluster.close(router);
    CHECK(!router.book.all_closed());
    cluster.settle(router, 0, 15);
    cluster.close(router, commit_fate::lost_after);
    CHECK(!router.book.all_closed());
    cluster.now = cluster.now + seconds(10);
    cluster.close(router);
    CHECK(router.book.all_closed());
    CHECK(!router.book.is_stopped());
    CHECK_EQUAL(15, cluster.allocated());
}

// Guards against writes by routers of an earlier term after a handover.
TEST(grant_planner, another_term_fences_the_incarnation)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    fill(cluster, router, 100);
    cluster.platform.put("term", encode(term_row{test_term + 1, "next"}));
    router.book.reserve(budget_name, 2000, cluster.now);
    cluster.now = cluster.now + seconds(10);
    cluster.refill(router, uncapped_policy);
    CHECK(router.book.is_fenced());
    CHECK(router.book.reserve(budget_name, 1, cluster.now).code == result_code::term_fenced);
}

// Guards against grants to an unregistered incarnation, which a recovery would not find.
TEST(grant_planner, nothing_is_granted_without_an_instance_row)
{
    fleet cluster{0, 1000};
    node unregistered{"router-9"};
    unregistered.book.reserve(budget_name, 10, cluster.now);
    cluster.refill(unregistered, uncapped_policy);
    CHECK_EQUAL(0, cluster.allocated());
}

// Guards against grants based on a limit that changed between read and commit.
TEST(grant_planner, a_changed_pools_row_is_a_conflict)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    router.book.reserve(budget_name, 900, cluster.now);
    cluster.refill(router, uncapped_policy, commit_fate::answered, true);
    cluster.set_limit(500);
    cluster.send(router, commit_fate::answered);
    CHECK_EQUAL(0, cluster.allocated());
    CHECK_EQUAL(1, router.book.counts().refills_conflicted);
}

// Guards against one contended budget that delays all other budgets of its batch.
TEST(grant_planner, a_conflicting_row_is_split_out_of_the_batch)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    cluster.platform.put(pool_key("other-pool"), R"({"budget":"other","limit_tokens":1000})");
    router.planner.set_budget_pools({{budget_name, {pool_name}}, {"other", {"other-pool"}}});
    router.book.reserve(budget_name, 10, cluster.now);
    router.book.reserve("other", 10, cluster.now);
    cluster.refill(router, uncapped_policy, commit_fate::answered, true);
    CHECK_EQUAL(2U, router.unsent->second.changes.size());
    cluster.platform.put(ledger_key("other"), to_text(ledger_row{}));
    cluster.send(router, commit_fate::answered);
    // The budget without a conflict is retried at once, the other one later in its own transaction.
    cluster.refill(router, uncapped_policy);
    CHECK(router.book.available(budget_name) >= 10);
    CHECK_EQUAL(0, router.book.available("other"));
    CHECK(router.book.plan_refill(uncapped_policy, 1, cluster.now).empty());
    cluster.now = cluster.now + seconds(1);
    cluster.refill(router, uncapped_policy);
    CHECK(router.book.available("other") >= 10);
}

// Guards against malformed rows or unknown budgets that block the refill of other budgets.
TEST(grant_planner, unreadable_rows_skip_only_their_budget)
{
    fleet cluster{1, 1000};
    auto& router = *cluster.nodes[0];
    router.book.reserve(budget_name, 10, cluster.now);
    router.book.reserve("in-no-pool", 10, cluster.now);
    cluster.refill(router, uncapped_policy);
    CHECK(router.book.available(budget_name) >= 10);
    CHECK_EQUAL(1, router.book.counts().unreadable_rows);
}

// Guards against a target outside its bounds: a fraction of the limit, a fraction of the free
// tokens, at least one request.
TEST(grant_policy, demand_driven_keeps_its_bounds)
{
    const demand_driven policy;
    grant_policy_input facts;
    facts.limit = 1'000'000;
    facts.grantable = 1'000'000;
    facts.free = 1'000'000;
    facts.live_instances = 9;
    facts.demand_per_ms = 0.0001;
    facts.request = 10;
    CHECK_EQUAL(840, policy.target(facts, facts.free)); // 2 x 70 min of demand
    facts.demand_per_ms = 1;
    CHECK_EQUAL(1000, policy.target(facts, facts.free)); // 0.1 % of the limit
    facts.reserved = 400;
    CHECK_EQUAL(600, policy.target(facts, facts.free)); // reservations can be stranded as well
    facts.reserved = 0;
    facts.free = 2000;
    CHECK_EQUAL(222, policy.target(facts, facts.free)); // free / 9
    facts.available = 100;
    CHECK_EQUAL(322, policy.target(facts, facts.free)); // available + free / 9
    facts.available = 0;
    facts.request = 800;
    CHECK_EQUAL(800, policy.target(facts, facts.free)); // one request
    facts.free = 700;
    CHECK_EQUAL(0, policy.wanted(facts)); // less than one request stays in the ledger
    facts.shortage = 800;
    CHECK_EQUAL(0, policy.wanted(facts)); // less than one request stays in the ledger
    facts.available = 100;
    CHECK_EQUAL(700, policy.wanted(facts));
}

// Guards against a refill at every request, and against returns while many tokens are free.
TEST(grant_policy, demand_driven_acts_below_half_and_returns_only_when_little_is_free)
{
    const demand_driven policy;
    grant_policy_input facts;
    facts.limit = 1'000'000;
    facts.grantable = 1'000'000;
    facts.free = 900'000;
    facts.demand_per_ms = 1;
    facts.available = 500;
    CHECK_EQUAL(0, policy.wanted(facts));
    facts.available = 499;
    CHECK_EQUAL(501, policy.wanted(facts));
    facts.available = 50'000;
    CHECK_EQUAL(0, policy.wanted(facts));
    facts.free = 10'000;
    CHECK_EQUAL(-49'000, policy.wanted(facts));
}

// Guards against baseline policies that behave unlike their names, which would invalidate
// comparisons.
TEST(grant_policy, baselines)
{
    grant_policy_input facts;
    facts.grantable = 900;
    facts.live_instances = 9;
    CHECK_EQUAL(100, static_shares{}.wanted(facts));
    facts.first_grant = false;
    CHECK_EQUAL(0, static_shares{}.wanted(facts));
    facts.shortage = 30;
    CHECK_EQUAL(30, platform_per_request{}.wanted(facts));
    facts.shortage = 0;
    facts.available = 12;
    CHECK_EQUAL(0, platform_per_request{}.wanted(facts));
    facts.settled_since_grant = true;
    CHECK_EQUAL(-12, platform_per_request{}.wanted(facts));
}

// Guards against an estimate that is far too low at the start or far too high after one request.
TEST(grant_policy, demand_rate_follows_steady_demand)
{
    demand_rate rate;
    for (int i = 0; i < 60; ++i) {
        rate.add(1000, seconds(i));
    }
    CHECK(rate.per_ms(seconds(60)) > 0.9 && rate.per_ms(seconds(60)) < 1.1);
    for (int i = 60; i < 3600; ++i) {
        rate.add(1000, seconds(i));
    }
    CHECK(rate.per_ms(seconds(3600)) > 0.98 && rate.per_ms(seconds(3600)) < 1.02);
    CHECK(rate.per_ms(minutes(120)) < 0.001);
}
