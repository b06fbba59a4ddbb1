#include "budget/tests/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::testing;

TEST_GROUP(grant_book){};
TEST_GROUP(grant_planner){};
TEST_GROUP(grant_policy){};

namespace
{
const demand_driven generous{minutes(5), 1};

/// Asks until the book holds at least `tokens`.
void fill(fleet& at, node& to, token_count tokens)
{
    to.book.reserve(budget_name, tokens, at.now);
    at.now = at.now + seconds(10);
    at.refill(to, generous);
}
} // namespace

// Guards against double use of a reservation, and against lost or invented tokens at its end.
TEST(grant_book, a_reservation_ends_once)
{
    fleet at{1, 1000};
    auto& book = at.nodes[0]->book;
    fill(at, *at.nodes[0], 100);
    const auto before = book.available(budget_name);
    const auto first = book.reserve(budget_name, 40, at.now);
    CHECK_EQUAL(before - 40, book.available(budget_name));
    CHECK(book.settle(first.id, 25, at.now));
    CHECK(!book.settle(first.id, 25, at.now));
    CHECK(!book.release(first.id));
    CHECK_EQUAL(before - 25, book.available(budget_name));
    const auto second = book.reserve(budget_name, 40, at.now);
    CHECK(book.release(second.id));
    const auto third = book.reserve(budget_name, 10, at.now);
    CHECK(book.settle_in_full(third.id, at.now));
    CHECK_EQUAL(35, book.spent(budget_name));
    CHECK_EQUAL(before - 35, book.available(budget_name));
}

// Guards against usage above the bound that is not charged, and against new reservations before
// the overdraft is covered.
TEST(grant_book, usage_above_the_reservation_is_charged_and_counted)
{
    fleet at{1, 1000};
    auto& book = at.nodes[0]->book;
    fill(at, *at.nodes[0], 10);
    const auto held = book.available(budget_name);
    const auto made = book.reserve(budget_name, held, at.now);
    book.settle(made.id, held + 5, at.now);
    CHECK_EQUAL(-5, book.available(budget_name));
    CHECK_EQUAL(1, book.counts().usage_above_reservation);
    CHECK(!book.reserve(budget_name, 0, at.now));
}

// Guards against untrue reasons: exhausted only when the ledger is known to have too little.
TEST(grant_book, refusals_name_the_true_reason)
{
    fleet at{1, 100};
    auto& only = *at.nodes[0];
    auto refused = only.book.reserve(budget_name, 10, at.now);
    CHECK(refused.code == result_code::budget_unavailable);
    CHECK(refused.refill_may_help);
    only.cut_off = true;
    at.refill(only, generous);
    refused = only.book.reserve(budget_name, 10, at.now);
    CHECK(refused.code == result_code::budget_unavailable);
    CHECK(!refused.refill_may_help);
    only.cut_off = false;
    at.now = at.now + seconds(30);
    at.refill(only, generous);
    CHECK(static_cast<bool>(only.book.reserve(budget_name, 10, at.now)));
    refused = only.book.reserve(budget_name, 101, at.now);
    at.now = at.now + seconds(30);
    at.refill(only, generous);
    refused = only.book.reserve(budget_name, 101, at.now);
    CHECK(refused.code == result_code::budget_exhausted);
    CHECK(!refused.refill_may_help);
    CHECK(only.book.reserve(budget_name, -1, at.now).code == result_code::invalid_token_count);
}

// Guards against a top-up that nobody notices: the next look must find it.
TEST(grant_book, a_top_up_is_found_after_exhaustion)
{
    fleet at{1, 50};
    auto& only = *at.nodes[0];
    fill(at, only, 60);
    CHECK(!only.book.reserve(budget_name, 60, at.now));
    at.set_limit(100);
    at.now = at.now + seconds(2);
    CHECK(only.book.reserve(budget_name, 60, at.now).refill_may_help);
    at.refill(only, generous);
    CHECK(static_cast<bool>(only.book.reserve(budget_name, 60, at.now)));
}

// Guards against an assumed increase after a lost answer, and against never using it although the
// row shows it.
TEST(grant_book, a_lost_increase_counts_once_the_row_shows_it)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    only.book.reserve(budget_name, 30, at.now);
    at.refill(only, generous, commit_fate::lost_after);
    CHECK_EQUAL(0, only.book.granted(budget_name));
    CHECK(only.book.counts().refills_unknown == 1);
    const auto row = parse_grant_row(at.platform.value(grant_key(budget_name, "router-0")));
    CHECK(row->granted >= 30);
    at.now = at.now + seconds(10);
    only.book.reserve(budget_name, 30, at.now);
    at.refill(only, generous);
    // Two refusals of 30 are short by then; the lost increase covers the first.
    CHECK_EQUAL(60, only.book.granted(budget_name));
    CHECK_EQUAL(60, at.allocated());
}

// Guards against a return that applies late after its tokens were credited back.
TEST(grant_book, a_lost_return_stays_debited_until_it_cannot_apply)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    fill(at, only, 100);
    const auto granted = only.book.granted(budget_name);
    at.now = at.now + minutes(71);
    at.refill(only, generous, commit_fate::delayed);
    CHECK_EQUAL(0, only.book.available(budget_name));
    at.now = at.now + seconds(10);
    only.book.reserve(budget_name, 10, at.now);
    // The row is read, but no write of the incarnation has succeeded since: still debited.
    at.refill(only, generous, commit_fate::not_sent);
    CHECK_EQUAL(0, only.book.available(budget_name));
    at.now = at.now + seconds(10);
    only.book.reserve(budget_name, 10, at.now);
    at.refill(only, generous);
    at.platform.flush_late();
    CHECK(only.book.granted(budget_name) >= granted);
    CHECK_EQUAL(std::string{}, at.broken());
}

// Guards against memory that grows with every budget ever used, and against spend that starts at 0
// again when a dropped budget comes back into use.
TEST(grant_book, idle_budgets_are_returned_dropped_and_continue_their_spend)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    fill(at, only, 100);
    at.reserve(only, 40);
    at.settle(only, 0, 40);
    only.book.take_changed_spend();
    at.now = at.now + minutes(71);
    at.refill(only, generous);
    only.book.drop_unused(at.now);
    CHECK(only.book.budgets().empty());
    CHECK_EQUAL(40, at.allocated());
    CHECK_EQUAL(40, only.book.spent(budget_name));
    fill(at, only, 100);
    at.reserve(only, 60);
    at.settle(only, 0, 60);
    CHECK(only.book.take_changed_spend() == (std::vector<budget_spend>{{budget_name, 100}}));
    CHECK_EQUAL(std::string{}, at.broken());
}

// Guards against a drain that closes while requests run or that strands tokens.
TEST(grant_book, drain_closes_after_the_last_request_and_returns_the_rest)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    fill(at, only, 100);
    at.reserve(only, 40);
    fleet::begin_drain(only);
    CHECK(only.book.reserve(budget_name, 1, at.now).code == result_code::draining);
    at.close(only);
    CHECK(!only.book.all_closed());
    at.settle(only, 0, 15);
    at.close(only, commit_fate::lost_after);
    CHECK(!only.book.all_closed());
    at.now = at.now + seconds(10);
    at.close(only);
    CHECK(only.book.all_closed());
    CHECK(!only.book.is_stopped());
    CHECK_EQUAL(15, at.allocated());
}

// Guards against writes of an old fleet after a handover.
TEST(grant_planner, another_term_fences_the_book)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    fill(at, only, 100);
    at.platform.put("term", encode(term_row{test_term + 1, "next"}));
    only.book.reserve(budget_name, 2000, at.now);
    at.now = at.now + seconds(10);
    at.refill(only, generous);
    CHECK(only.book.is_fenced());
    CHECK(only.book.reserve(budget_name, 1, at.now).code == result_code::term_fenced);
}

// Guards against grants of an incarnation that a recovery would not find.
TEST(grant_planner, nothing_is_granted_without_an_instance_row)
{
    fleet at{0, 1000};
    node unregistered{"router-9"};
    unregistered.book.reserve(budget_name, 10, at.now);
    at.refill(unregistered, generous);
    CHECK_EQUAL(0, at.allocated());
}

// Guards against a limit that changes between read and commit.
TEST(grant_planner, a_changed_pools_row_is_a_conflict)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    only.book.reserve(budget_name, 900, at.now);
    at.refill(only, generous, commit_fate::answered, true);
    at.set_limit(500);
    at.send(only, commit_fate::answered);
    CHECK_EQUAL(0, at.allocated());
    CHECK_EQUAL(1, only.book.counts().refills_conflicted);
}

// Guards against one contended budget that holds up all others of its batch.
TEST(grant_planner, a_conflicting_row_is_split_out_of_the_batch)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    at.platform.put(pool_key("other-pool"), R"({"budget":"other","limit_tokens":1000})");
    only.planner.set_sources({{budget_name, {pool_name}}, {"other", {"other-pool"}}});
    only.book.reserve(budget_name, 10, at.now);
    only.book.reserve("other", 10, at.now);
    at.refill(only, generous, commit_fate::answered, true);
    CHECK_EQUAL(2U, only.unsent->second.changes.size());
    at.platform.put(ledger_key("other"), to_text(ledger_row{}));
    at.send(only, commit_fate::answered);
    // The budget without a conflict is tried again at once, the other one later and alone.
    at.refill(only, generous);
    CHECK(only.book.available(budget_name) >= 10);
    CHECK_EQUAL(0, only.book.available("other"));
    CHECK(only.book.plan_refill(generous, 1, at.now).empty());
    at.now = at.now + seconds(1);
    at.refill(only, generous);
    CHECK(only.book.available("other") >= 10);
}

// Guards against malformed rows or unknown budgets that stop the refill of the others.
TEST(grant_planner, unreadable_rows_leave_only_their_budget_out)
{
    fleet at{1, 1000};
    auto& only = *at.nodes[0];
    only.book.reserve(budget_name, 10, at.now);
    only.book.reserve("in-no-pool", 10, at.now);
    at.refill(only, generous);
    CHECK(only.book.available(budget_name) >= 10);
    CHECK_EQUAL(1, only.book.counts().unreadable_rows);
}

// Guards against a target outside its bounds: a share of the limit, of the free part, one request.
TEST(grant_policy, demand_driven_keeps_its_bounds)
{
    const demand_driven policy;
    grant_facts facts;
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
    CHECK_EQUAL(322, policy.target(facts, facts.free)); // what it has and free / 9
    facts.available = 0;
    facts.request = 800;
    CHECK_EQUAL(800, policy.target(facts, facts.free)); // one request
    facts.free = 700;
    CHECK_EQUAL(0, policy.wanted(facts)); // less than one request is left to others
    facts.shortage = 800;
    CHECK_EQUAL(0, policy.wanted(facts)); // less than one request is left to others
    facts.available = 100;
    CHECK_EQUAL(700, policy.wanted(facts));
}

// Guards against refills at every request, and against returns while plenty is free.
TEST(grant_policy, demand_driven_acts_below_half_and_returns_only_when_little_is_free)
{
    const demand_driven policy;
    grant_facts facts;
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

// Guards against baselines that do not do what their names say, which would make comparisons void.
TEST(grant_policy, baselines)
{
    grant_facts facts;
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

// Guards against an estimate that starts at zero or explodes at the first request.
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
