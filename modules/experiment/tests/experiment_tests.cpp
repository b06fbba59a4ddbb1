#include "experiment/scenario.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>
#include <map>
#include <string>
#include <utility>
#include <vector>

// Its macros for new and delete break the standard headers that follow it.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::experiment;

namespace
{
const std::vector<std::string> deployments{"braithwaite", "braeside"};
constexpr std::uint64_t seeds = 3;

run_report run_one(const run_settings& settings)
{
    const auto report = run_scenario(settings);
    return report ? *report : run_report{};
}

std::string name_of(const run_report& report)
{
    return fmt::format("{} --deployment {} --seed {} --policy {}\n{}", report.scenario,
                       report.deployment, report.seed, report.policy, report.to_json());
}

// Several tests compare the same runs, which are made once.
const std::vector<run_report>& run_all(const std::string& scenario, const std::string& policy = {})
{
    static std::map<std::pair<std::string, std::string>, std::vector<run_report>> made;
    auto& reports = made[{scenario, policy}];
    if (!reports.empty()) {
        return reports;
    }
    std::vector<std::future<run_report>> running;
    for (const auto& deployment : deployments) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            running.push_back(std::async(std::launch::async, [=] {
                return run_one({scenario, deployment, seed, policy});
            }));
        }
    }
    for (auto& item : running) {
        reports.push_back(item.get());
    }
    return reports;
}

// Bounds of every scenario: the promises, nothing forgotten by the bill, no configuration that
// reverts, and nothing stranded once the faults are over.
void check_promises(const run_report& report)
{
    const auto name = name_of(report);
    CHECK_TEXT(report.requests > 1000, name.c_str());
    CHECK_TEXT(report.promises_kept(), name.c_str());
    CHECK_TEXT(report.answered_unbilled == 0 && report.billed_not_run == 0, name.c_str());
    CHECK_TEXT(report.config_reverts == 0, name.c_str());
    CHECK_TEXT(report.config_max_delay_ms <= 5000, name.c_str());
    CHECK_TEXT(report.late_server_work == 0, name.c_str());
    CHECK_TEXT(report.stranded_after_recovery == 0 && report.closed_below_spend == 0, name.c_str());
}

void check_false_refusals(const run_report& report)
{
    CHECK_TEXT(report.false_refusals * 1000 <= report.requests, name_of(report).c_str());
}

// Refusals that only the safety margin could have served are what the margin is for.
std::int64_t beyond_margin(const run_report& report)
{
    return report.false_refusals - report.false_refusals_margin;
}
} // namespace

TEST_GROUP(experiment){};

// A fleet without faults refuses requests that it could serve.
TEST(experiment, steady)
{
    for (const auto& report : run_all("steady")) {
        check_promises(report);
        check_false_refusals(report);
    }
}

// An outage that the grants should cover leads to refusals.
TEST(experiment, platform_outage)
{
    for (const auto& report : run_all("platform-outage")) {
        check_promises(report);
        check_false_refusals(report);
    }
}

// A lost or late answer of the platform makes a grant or a bill entry count twice.
TEST(experiment, platform_lost_answers)
{
    for (const auto& report : run_all("platform-lost-answers")) {
        check_promises(report);
    }
}

// A death strands more than a thousandth of a budget, or for longer than the recovery.
TEST(experiment, router_kill)
{
    for (const auto& report : run_all("router-kill")) {
        check_promises(report);
        check_false_refusals(report);
        CHECK_TEXT(report.stranded_tokens > 0, name_of(report).c_str());
        CHECK_TEXT(report.stranded_share <= 0.001, name_of(report).c_str());
    }
}

// A router that continues after a long pause spends tokens that others were given.
TEST(experiment, long_pause)
{
    for (const auto& report : run_all("long-pause")) {
        check_promises(report);
    }
}

// The arbiter misses an overspend; a clean result would then say nothing.
TEST(experiment, arbiter_sees_reclaim_by_time)
{
    for (const auto& report : run_all("long-pause", "reclaim-by-time")) {
        CHECK_TEXT(report.overspend_tokens > 0, name_of(report).c_str());
        CHECK_TEXT(!report.promises_kept(), name_of(report).c_str());
    }
}

// A partition leads to refusals or an overspend, or a top-up does not reach routers in time.
TEST(experiment, partition_with_top_up)
{
    for (const auto& report : run_all("partition-with-top-up")) {
        check_promises(report);
        check_false_refusals(report);
    }
}

// A drain cuts a request, refuses one for good or loses bill entries.
TEST(experiment, drain)
{
    for (const auto& report : run_all("drain")) {
        check_promises(report);
        check_false_refusals(report);
    }
}

// Concurrent edits revert a version or come into force late.
TEST(experiment, operator_race)
{
    for (const auto& report : run_all("operator-race")) {
        check_promises(report);
        CHECK_TEXT(report.config_max_delay_ms > 0, name_of(report).c_str());
    }
}

// A silent connection makes a request run twice or shows an answer to another one.
TEST(experiment, silent_connections)
{
    for (const auto& report : run_all("silent-connections")) {
        check_promises(report);
        CHECK_TEXT(report.chats_resumed > 0, name_of(report).c_str());
    }
}

// Two faults at once break a promise that each alone does not, or block the recovery.
TEST(experiment, double_faults)
{
    for (const auto* const name :
         {"double-fault-kill-in-outage", "double-fault-pause-in-partition"}) {
        for (const auto& report : run_all(name)) {
            check_promises(report);
        }
    }
}

// A leaving server gets new work for more than 3 s.
TEST(experiment, server_leaving)
{
    for (const auto& report : run_all("server-leaving")) {
        check_promises(report);
    }
}

// Issued keys need the platform, or a key that needs it is run without.
TEST(experiment, non_idempotent_outage)
{
    const auto& issued = run_all("non-idempotent-outage", "issued-keys");
    const auto& durable = run_all("non-idempotent-outage", "durable-intent");
    for (std::size_t i = 0; i < issued.size(); ++i) {
        check_promises(issued[i]);
        check_promises(durable[i]);
        CHECK_TEXT(issued[i].false_refusals < durable[i].false_refusals,
                   name_of(issued[i]).c_str());
    }
}

// Near the end of a budget the fleet refuses what is left elsewhere, or writes to the platform for
// every request.
TEST(experiment, budget_exhaustion)
{
    const auto& ours = run_all("budget-exhaustion");
    const auto& shares = run_all("budget-exhaustion", "static-shares");
    const auto& each = run_all("budget-exhaustion", "platform-per-request");
    for (std::size_t i = 0; i < ours.size(); ++i) {
        check_promises(ours[i]);
        check_promises(shares[i]);
        check_promises(each[i]);
        CHECK_TEXT(beyond_margin(ours[i]) * 4 <= beyond_margin(shares[i]),
                   name_of(ours[i]).c_str());
    }
}

// See above; the bound is the stated target over all platform writes, segments included.
TEST(experiment, budget_exhaustion_writes)
{
    const auto& ours = run_all("budget-exhaustion");
    const auto& each = run_all("budget-exhaustion", "platform-per-request");
    for (std::size_t i = 0; i < ours.size(); ++i) {
        CHECK_TEXT(ours[i].platform_writes * 20 <= each[i].platform_writes,
                   name_of(ours[i]).c_str());
    }
}

// What is left when an outage begins near the end of a budget cannot be used.
TEST(experiment, budget_exhaustion_with_outage)
{
    const auto& ours = run_all("budget-exhaustion-with-outage");
    const auto& shares = run_all("budget-exhaustion-with-outage", "static-shares");
    const auto& each = run_all("budget-exhaustion-with-outage", "platform-per-request");
    for (std::size_t i = 0; i < ours.size(); ++i) {
        check_promises(ours[i]);
        const auto better = std::min(beyond_margin(shares[i]), beyond_margin(each[i]));
        CHECK_TEXT(beyond_margin(ours[i]) * 4 <= better, name_of(ours[i]).c_str());
    }
}

// A result cannot be repeated from its seed.
TEST(experiment, same_seed_same_output)
{
    const run_settings settings{"router-kill", "braithwaite", 7, {}};
    STRCMP_EQUAL(run_one(settings).to_json().c_str(), run_one(settings).to_json().c_str());
    const run_settings other{"router-kill", "braithwaite", 8, {}};
    CHECK(run_one(settings).to_json() != run_one(other).to_json());
}

// A misspelt name runs something else.
TEST(experiment, unknown_names_are_refused)
{
    CHECK(!run_scenario({"no-such-scenario", "braithwaite", 1, {}}));
    CHECK(!run_scenario({"steady", "no-such-deployment", 1, {}}));
    CHECK(!run_scenario({"steady", "braithwaite", 1, "no-such-policy"}));
}
