#include "experiment/scenario.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(list, false, "name the scenarios");
DEFINE_string(deployment, "braithwaite", "braithwaite or braeside");
DEFINE_uint64(seed, 1, "seed of demand, timing and faults");
DEFINE_string(policy, "",
              "demand-driven, demand-driven-no-transfers, static-shares, platform-per-request, "
              "reclaim-by-time, issued-keys or durable-intent; empty for the scenario's default");
DEFINE_bool(json, true, "print one JSON object; otherwise a summary line");
DEFINE_bool(trace, false, "print each refusal to standard error");

namespace
{
using namespace jujubevalve::experiment;

constexpr int exit_promise_broken = 1;
constexpr int exit_usage = 2;

void print_list()
{
    for (const auto& item : all_scenarios()) {
        std::cout << fmt::format("{:32} {}\n", item.name, item.summary);
    }
}

void print_summary(const run_report& report)
{
    std::cout << fmt::format(
        "{} {} {} seed {}: {} requests, {} false refusals, {} overspent tokens, promises {}\n",
        report.scenario, report.deployment, report.policy, report.seed, report.requests,
        report.false_refusals, report.overspend_tokens,
        report.promises_kept() ? "kept" : "broken");
}
} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("SCENARIO [flags] | --list");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_list) {
        print_list();
        return 0;
    }
    if (argc != 2) {
        std::cerr << "expected one scenario; --list names them\n";
        return exit_usage;
    }
    const auto report =
        run_scenario({argv[1], FLAGS_deployment, FLAGS_seed, FLAGS_policy, FLAGS_trace});
    if (!report) {
        std::cerr << report.why().message << '\n';
        return exit_usage;
    }
    if (FLAGS_json) {
        std::cout << report->to_json() << '\n';
    } else {
        print_summary(*report);
    }
    return report->promises_kept() ? 0 : exit_promise_broken;
}
