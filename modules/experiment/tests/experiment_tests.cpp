#include "experiment/scenario.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>
#include <map>
#include <string>
#include <utility>
#include <vector>

// Included last: its macros for new and delete break standard headers that follow it.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::experiment;

namespace
{
const std::vector<std::string> deployments{"braithwaite", "braeside"};
constexpr std::uint64_t seed_count = 3;

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

// Returns the reports for all deployments and seeds, cached because several tests use the same
// runs.
const std::vector<run_report>& run_all(const std::string& scenario, const std::string& policy = {})
{
    static std::map<std::pair<std::string, std::string>, std::vector<run_report>> cache;
    auto& reports = cache[{scenario, policy}];
    if (!reports.empty()) {
        return reports;
    }
    std::vector<std::future<run_report>> running;
    for (const auto& deployment : deployments) {
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
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

// Checks the bounds of every scenario: the promises, a complete bill, no configuration that goes
// back to a lower version, and no tokens stranded after recovery.
void check_responses_against_runs(const run_report& report)
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

// Excludes refusals that only the safety margin could have served: the margin is never granted.
std::int64_t refusals_beyond_margin(const run_report& report)
{
    return report.false_refusals - report.false_refusals_margin;
}
} // namespace

TEST_GROUP(experiment){};

// Guards against refusals of requests that a fleet without faults could serve.
TEST(experiment, steady)
{
    for (const auto& report : run_all("steady")) {
        check_responses_against_runs(report);
        check_false_refusals(report);
    }
}

// Guards against refusals during a platform outage that the existing grants should cover.
TEST(experiment, platform_outage)
{
    for (const auto& report : run_all("platform-outage")) {
        check_responses_against_runs(report);
        check_false_refusals(report);
    }
}

// Guards against a grant or a bill entry that counts twice after a lost platform response or a late
// write.
TEST(experiment, platform_lost_answers)
{
    for (const auto& report : run_all("platform-lost-answers")) {
        check_responses_against_runs(report);
    }
}

// Guards against a killed router that strands more than 1/1000 of a budget, or strands tokens
// beyond its recovery.
TEST(experiment, router_kill)
{
    for (const auto& report : run_all("router-kill")) {
        check_responses_against_runs(report);
        check_false_refusals(report);
        CHECK_TEXT(report.stranded_tokens > 0, name_of(report).c_str());
        CHECK_TEXT(report.stranded_share <= 0.001, name_of(report).c_str());
    }
}

// Guards against a router that resumes after a long pause and spends tokens granted to others.
TEST(experiment, long_pause)
{
    for (const auto& report : run_all("long-pause")) {
        check_responses_against_runs(report);
    }
}

// Guards against a checker that misses an overspend, which would make the other results void:
// reclaim-by-time is a policy that overspends in this scenario.
TEST(experiment, checker_detects_reclaim_by_time)
{
    for (const auto& report : run_all("long-pause", "reclaim-by-time")) {
        CHECK_TEXT(report.overspend_tokens > 0, name_of(report).c_str());
        CHECK_TEXT(!report.promises_kept(), name_of(report).c_str());
    }
}

// Guards against refusals or an overspend during a partition, and against a raised limit that
// reaches routers late.
TEST(experiment, partition_with_top_up)
{
    for (const auto& report : run_all("partition-with-top-up")) {
        check_responses_against_runs(report);
        check_false_refusals(report);
    }
}

// Guards against a drain that breaks off or finally refuses a request, or loses bill entries.
TEST(experiment, drain)
{
    for (const auto& report : run_all("drain")) {
        check_responses_against_runs(report);
        check_false_refusals(report);
    }
}

// Guards against concurrent edits that make a router go back to a lower version or adopt one late.
TEST(experiment, operator_race)
{
    for (const auto& report : run_all("operator-race")) {
        check_responses_against_runs(report);
        CHECK_TEXT(report.config_max_delay_ms > 0, name_of(report).c_str());
    }
}

// Guards against a silent connection that makes a request run twice, and against delivering the
// answer to another request.
TEST(experiment, silent_connections)
{
    for (const auto& report : run_all("silent-connections")) {
        check_responses_against_runs(report);
        CHECK_TEXT(report.chats_resumed > 0, name_of(report).c_str());
    }
}

// Guards against two simultaneous faults that break a promise or block the recovery where each
// alone does not.
TEST(experiment, double_faults)
{
    for (const auto* const name :
         {"double-fault-kill-in-outage", "double-fault-pause-in-partition"}) {
        for (const auto& report : run_all(name)) {
            check_responses_against_runs(report);
        }
    }
}

// Guards against new work on a server that has been leaving for more than 3 s.
TEST(experiment, server_leaving)
{
    for (const auto& report : run_all("server-leaving")) {
        check_responses_against_runs(report);
    }
}

// Guards against issued keys that depend on the platform, and against a run without its durable
// intent while the platform is unreachable.
TEST(experiment, non_idempotent_outage)
{
    const auto& issued = run_all("non-idempotent-outage", "issued-keys");
    const auto& durable = run_all("non-idempotent-outage", "durable-intent");
    for (std::size_t i = 0; i < issued.size(); ++i) {
        check_responses_against_runs(issued[i]);
        check_responses_against_runs(durable[i]);
        CHECK_TEXT(issued[i].false_refusals < durable[i].false_refusals,
                   name_of(issued[i]).c_str());
    }
}

// Guards against refusals near the end of a budget while other instances still hold tokens of it.
TEST(experiment, budget_exhaustion)
{
    const auto& demand_driven_reports = run_all("budget-exhaustion");
    const auto& static_shares_reports = run_all("budget-exhaustion", "static-shares");
    const auto& per_request_reports = run_all("budget-exhaustion", "platform-per-request");
    for (std::size_t i = 0; i < demand_driven_reports.size(); ++i) {
        check_responses_against_runs(demand_driven_reports[i]);
        check_responses_against_runs(static_shares_reports[i]);
        check_responses_against_runs(per_request_reports[i]);
        CHECK_TEXT(refusals_beyond_margin(demand_driven_reports[i]) * 4 <=
                       refusals_beyond_margin(static_shares_reports[i]),
                   name_of(demand_driven_reports[i]).c_str());
    }
}

// Guards against a platform write per request near the end of a budget. The bound is the target for
// all platform writes, including segments: 1/20 of platform-per-request.
TEST(experiment, budget_exhaustion_writes)
{
    const auto& demand_driven_reports = run_all("budget-exhaustion");
    const auto& per_request_reports = run_all("budget-exhaustion", "platform-per-request");
    for (std::size_t i = 0; i < demand_driven_reports.size(); ++i) {
        CHECK_TEXT(demand_driven_reports[i].platform_writes * 20 <=
                       per_request_reports[i].platform_writes,
                   name_of(demand_driven_reports[i]).c_str());
    }
}

// Guards against refusals in an outage near the end of a budget while granted tokens remain unused.
TEST(experiment, budget_exhaustion_with_outage)
{
    const auto& demand_driven_reports = run_all("budget-exhaustion-with-outage");
    const auto& static_shares_reports = run_all("budget-exhaustion-with-outage", "static-shares");
    const auto& per_request_reports =
        run_all("budget-exhaustion-with-outage", "platform-per-request");
    for (std::size_t i = 0; i < demand_driven_reports.size(); ++i) {
        check_responses_against_runs(demand_driven_reports[i]);
        const auto best_other = std::min(refusals_beyond_margin(static_shares_reports[i]),
                                         refusals_beyond_margin(per_request_reports[i]));
        CHECK_TEXT(refusals_beyond_margin(demand_driven_reports[i]) * 4 <= best_other,
                   name_of(demand_driven_reports[i]).c_str());
    }
}

// Guards against a run that does not depend on its seed alone.
TEST(experiment, same_seed_same_output)
{
    const run_settings settings{"router-kill", "braithwaite", 7, {}};
    STRCMP_EQUAL(run_one(settings).to_json().c_str(), run_one(settings).to_json().c_str());
    const run_settings other{"router-kill", "braithwaite", 8, {}};
    CHECK(run_one(settings).to_json() != run_one(other).to_json());
}

// Guards against a misspelt name that runs another configuration.
TEST(experiment, unknown_names_are_refused)
{
    CHECK(!run_scenario({"no-such-scenario", "braithwaite", 1, {}}));
    CHECK(!run_scenario({"steady", "no-such-deployment", 1, {}}));
    CHECK(!run_scenario({"steady", "braithwaite", 1, "no-such-policy"}));
}
