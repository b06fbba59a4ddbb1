#include "experiment/scenario.h"

#include <algorithm>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

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

// Replaces the gflags parser, which exits with code 1 on an invalid flag; that code reports a
// broken promise here.
bool parse(const std::vector<std::string>& arguments, std::vector<std::string>& names)
{
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const auto& argument = arguments[i];
        if (!argument.starts_with('-')) {
            names.push_back(argument);
            continue;
        }
        const auto equals = argument.find('=');
        const auto start = argument.find_first_not_of('-');
        const auto flag =
            start == std::string::npos ? argument : argument.substr(start, equals - start);
        gflags::CommandLineFlagInfo info;
        const bool known = gflags::GetCommandLineFlagInfo(flag.c_str(), &info);
        const bool is_next = equals == std::string::npos && known && info.type != "bool";
        const auto value = equals != std::string::npos ? argument.substr(equals + 1)
                           : !is_next                  ? std::string{"true"}
                           : i + 1 < arguments.size()  ? arguments[++i]
                                                       : std::string{};
        if (!known || gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty()) {
            std::cerr << fmt::format("flag \"{}\" with value \"{}\" is not valid\n", flag, value);
            return false;
        }
    }
    return true;
}

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
        report.false_refusals, report.overspend_tokens, report.promises_kept() ? "kept" : "broken");
}
} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        std::cout
            << "jujubevalve-experiment SCENARIO [--deployment braithwaite|braeside] [--seed N] "
               "[--policy NAME] [--json]\n"
               "jujubevalve-experiment --list   names the scenarios and policies\n"
               "Exit codes: 0 every promise kept, 1 one broken, 2 wrong usage.\n"
               "Example: jujubevalve-experiment steady --deployment braeside --seed 1 --json\n";
        return 0;
    }
    std::vector<std::string> names;
    if (!parse(arguments, names)) {
        return exit_usage;
    }
    if (FLAGS_list) {
        print_list();
        return 0;
    }
    if (names.size() != 1) {
        std::cerr << "expected one scenario; --list names them\n";
        return exit_usage;
    }
    const auto report =
        run_scenario({names.front(), FLAGS_deployment, FLAGS_seed, FLAGS_policy, FLAGS_trace});
    if (!report) {
        std::cerr << report.error().message << '\n';
        return exit_usage;
    }
    if (FLAGS_json) {
        std::cout << report->to_json() << '\n';
    } else {
        print_summary(*report);
    }
    return report->promises_kept() ? 0 : exit_promise_broken;
}
