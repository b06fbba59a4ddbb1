#include "core/clock.h"
#include "core/settings.h"
#include "ctl/check_command.h"
#include "ctl/handover_check.h"
#include "ctl/handover_commands.h"
#include "ctl/table_commands.h"
#include "ctl/view_commands.h"
#include "net/event_loop.h"
#include "platform/config_codec.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"

#include <chrono>
#include <exception>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(platform, "", "ip:port of the platform");
DEFINE_string(credential, "", "bearer credential; a file or the environment keeps it out of ps");
DEFINE_string(credential_file, "", "file that holds the bearer credential");
DEFINE_bool(json, false, "print JSON for scripts");
DEFINE_int64(base, -1, "apply: version that the edit was made from; -1 takes the file's");
DEFINE_string(apply_id, "", "apply: id of an earlier attempt whose outcome is unknown");
DEFINE_string(operator, "", "apply, init: name for the audit trail; apply takes the term's");
DEFINE_string(new_operator, "", "handover begin: name of the operator that takes over");
DEFINE_int64(term, 0, "handover begin, init: the new term; apply: the term that must be in force");
DEFINE_int64(limit, 50, "versions, audit: number of entries to show");
DEFINE_int64(max_segments, 1000, "budgets: segments to read for each incarnation");
DEFINE_string(in_force, "", "check: file with the configuration in force, for the differences");
DEFINE_string(store, "", "check: ip:port of the store that holds the configuration in force");
DEFINE_bool(strict, false, "check: warnings fail the check, too");
DEFINE_int64(timeout_ms, 5000, "time-out of each call to the platform");

using namespace jujubevalve;

namespace
{
constexpr std::string_view usage = R"(jujubevalve-ctl [flags] COMMAND

Commands:
  fetch routes|pools|all  print the tables in force as a table file
  validate FILE           check a table file; a table it lacks is read from the platform
  diff FILE               show what applying the file would change
  check FILE              check a configuration of the entry instances before it is sent: errors,
                          entries that never match, limits that contradict each other, and what
                          differs from the one in force (--in_force or --store)
  apply FILE --base=N     apply a file that was edited from version N
  budgets                 limit, granted, spent and free tokens of each budget
  instances               incarnations of the fleet and their state
  versions                newest versions of the configuration
  audit                   newest applies, handovers and recoveries
  init --operator=NAME    first term of an empty platform
  handover begin --term=N --new_operator=NAME
                          start term N; processes of older terms can no longer write
  handover check          check that tables, log, grants, ledgers and segments agree

FILE is JSON, {"version":N,"routes":[...],"pools":[...]} with one or both tables; - reads standard
input. A table in the file replaces the whole table.

Exit codes:
  0  ok
  1  refused, or a check found errors
  2  wrong usage
  3  platform unavailable, nothing was changed
  4  outcome unknown: a change may have taken effect; repeat as the message says

Examples:
  export JUJUBEVALVE_PLATFORM=127.0.0.1:7400 JUJUBEVALVE_CREDENTIAL_FILE=/etc/jujubevalve/platform
  jujubevalve-ctl init --operator="Braithwaite Operations"
  jujubevalve-ctl apply examples/braithwaite.json --base=0
  jujubevalve-ctl fetch pools >pools.json
  jujubevalve-ctl diff pools.json
  jujubevalve-ctl apply pools.json --base=1 --operator=ada
  jujubevalve-ctl budgets --json
  jujubevalve-ctl handover begin --term=2 --new_operator="Braeside Operations"
  jujubevalve-ctl handover check)";

constexpr std::int64_t max_listed = 100'000;

void check_settings()
{
    settings_check check;
    if (!FLAGS_platform.empty()) {
        check.address("platform", FLAGS_platform);
    }
    if (!FLAGS_store.empty()) {
        check.address("store", FLAGS_store);
    }
    check.range("base", FLAGS_base, -1, 999'999'999'999);
    check.range("term", FLAGS_term, 0, INT64_MAX);
    check.range("limit", FLAGS_limit, 1, max_listed);
    check.range("max_segments", FLAGS_max_segments, 1, INT64_MAX);
    check.range("timeout_ms", FLAGS_timeout_ms, 10, 600'000);
    check.exit_on_error();
}

// Reads a file, or standard input for "-". Throws std::runtime_error with the name.
std::string read_file(const std::string& name)
{
    std::ostringstream content;
    if (name == "-") {
        content << std::cin.rdbuf();
        return content.str();
    }
    std::ifstream file{name, std::ios::binary};
    if (!file || !(content << file.rdbuf())) {
        throw std::runtime_error("cannot read \"" + name + "\"");
    }
    return content.str();
}

std::string read_credential()
{
    if (FLAGS_credential_file.empty()) {
        return FLAGS_credential;
    }
    auto text = read_file(FLAGS_credential_file);
    text.erase(text.find_last_not_of("\r\n \t") + 1);
    return text;
}

// Waits up to 100 ms more before each repetition, so that racing operators do not meet again.
void wait_before(int repetition)
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> delay_ms{20, 100 * repetition};
    std::this_thread::sleep_for(std::chrono::milliseconds{delay_ms(random)});
}

command_result run_table_command(const ctl_context& context, const std::string& command,
                                 const std::string& operand)
{
    if (command == "fetch") {
        return operand == "routes" || operand == "pools" || operand == "all"
                   ? fetch_tables(context, operand)
                   : wrong_usage("fetch: expected routes, pools or all");
    }
    if (operand.empty()) {
        return wrong_usage(command + ": the file is missing");
    }
    const auto file = read_file(operand);
    if (command == "validate") {
        return validate_tables(context, file);
    }
    if (command == "diff") {
        return diff_tables(context, file);
    }
    const auto base =
        FLAGS_base < 0 ? std::nullopt : std::optional<std::int64_t>{std::int64_t{FLAGS_base}};
    return apply_tables(context, file, {base, FLAGS_apply_id, FLAGS_operator, FLAGS_term});
}

command_result run_handover(const ctl_context& context, const std::string& operand)
{
    if (operand == "check") {
        return check_handover(context);
    }
    if (operand != "begin") {
        return wrong_usage("handover: expected begin or check");
    }
    if (FLAGS_term < 1 || FLAGS_new_operator.empty()) {
        return wrong_usage("handover begin: --term and --new_operator are required");
    }
    return begin_handover(context, FLAGS_term, FLAGS_new_operator);
}

// Reads the configuration that is in force from the store of the entry instances.
result<std::string> fetch_config_in_force()
{
    event_loop loop;
    store_client store{loop, {FLAGS_store, time_ms{FLAGS_timeout_ms}, time_ms{FLAGS_timeout_ms}}};
    result<std::string> text = failure{result_code::platform_unavailable,
                                       "the store at " + FLAGS_store + " has not answered"};
    const std::string table{wire::operator_table};
    const std::string key{wire::config_key};
    store.read(table, "", key, key + '\0', [&](const result<row_page>& page) {
        if (!page) {
            text = page.error();
        } else if (page->rows.empty()) {
            text = failure{result_code::platform_unavailable, "the store has no configuration"};
        } else {
            text = page->rows.front().row.value;
        }
        loop.stop();
    });
    loop.run();
    return text;
}

command_result run_check(const std::string& operand)
{
    if (operand.empty()) {
        return wrong_usage("check: the file is missing");
    }
    if (!FLAGS_in_force.empty() && !FLAGS_store.empty()) {
        return wrong_usage("check: --in_force and --store exclude each other");
    }
    const auto file = read_file(operand);
    check_input input{operand, file, std::nullopt, FLAGS_json, FLAGS_strict};
    if (!FLAGS_in_force.empty() || !FLAGS_store.empty()) {
        const auto text = FLAGS_store.empty() ? result<std::string>{read_file(FLAGS_in_force)}
                                              : fetch_config_in_force();
        if (!text) {
            return failed(FLAGS_json, {text.error()});
        }
        auto in_force = decode_config(*text);
        if (!in_force) {
            return failed(FLAGS_json, {in_force.error()});
        }
        input.in_force = std::move(in_force).value();
    }
    return check_config_file(input);
}

command_result run_command(const ctl_context& context, const std::string& command,
                           const std::string& operand)
{
    if (command == "fetch" || command == "validate" || command == "diff" || command == "apply") {
        return run_table_command(context, command, operand);
    }
    if (command == "handover") {
        return run_handover(context, operand);
    }
    if (!operand.empty()) {
        return wrong_usage("unexpected operand " + operand);
    }
    if (command == "budgets") {
        return show_budgets(context, static_cast<std::size_t>(FLAGS_max_segments));
    }
    if (command == "instances") {
        return show_instances(context);
    }
    if (command == "versions") {
        return show_versions(context, static_cast<std::size_t>(FLAGS_limit));
    }
    if (command == "audit") {
        return show_audit(context, static_cast<std::size_t>(FLAGS_limit));
    }
    if (command == "init") {
        return FLAGS_operator.empty()
                   ? wrong_usage("init: --operator is required")
                   : init_platform(context, FLAGS_operator, FLAGS_term == 0 ? 1 : FLAGS_term);
    }
    return wrong_usage("unknown command \"" + command + "\"");
}

command_result run(const std::vector<std::string>& operands)
{
    if (operands.empty() || operands.size() > 2) {
        return wrong_usage("expected a command and at most one operand");
    }
    if (operands.front() == "check") {
        return run_check(operands.size() == 2 ? operands[1] : "");
    }
    if (FLAGS_platform.empty() && operands.front() != "validate") {
        return wrong_usage("--platform is required");
    }
    http_platform platform{
        {FLAGS_platform, read_credential(), time_ms{1000}, time_ms{FLAGS_timeout_ms}}};
    const ctl_context context{platform, FLAGS_json, wall_clock_ms{}.now(), &wait_before};
    return run_command(context, operands.front(), operands.size() == 2 ? operands[1] : "");
}
} // namespace

int main(int argc, char** argv)
{
    read_settings(usage, argc, argv);
    check_settings();
    command_result result;
    try {
        result = run({argv + 1, argv + argc});
    } catch (const std::exception& error) {
        result = {exit_code::usage, {}, std::string{"error: "} + error.what() + "\n"};
    }
    std::cout << result.output;
    std::cerr << result.errors;
    return static_cast<int>(result.code);
}
