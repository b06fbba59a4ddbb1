#include "ctl/check_command.h"

#include "platform/config_lint.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
std::string_view name_of(finding_severity severity)
{
    return severity == finding_severity::error ? "error" : "warning";
}

std::string_view name_of(config_section section)
{
    constexpr auto names =
        std::to_array<std::string_view>({"configuration", "route", "service", "account", "limits"});
    return names.at(static_cast<std::size_t>(section));
}

std::string_view name_of(config_difference::kind kind)
{
    constexpr auto names = std::to_array<std::string_view>({"added", "removed", "changed"});
    return names.at(static_cast<std::size_t>(kind));
}

std::string text_of(const config_difference& difference)
{
    auto line = std::string{name_of(difference.section)};
    if (!difference.name.empty()) {
        line += fmt::format(" \"{}\"", difference.name);
    }
    if (difference.field.empty() && difference.before.empty() && difference.after.empty()) {
        return fmt::format("{} {}\n", line, name_of(difference.change));
    }
    return fmt::format("{} {}: {} -> {}\n", line, difference.field, difference.before,
                       difference.after);
}

/// An instance never replaces a configuration by one of the same or an older version.
std::optional<located_finding> check_version(const check_input& input, const config_lint& lint)
{
    if (!input.in_force || !lint.content || lint.content->version > input.in_force->version) {
        return std::nullopt;
    }
    return located_finding{finding_severity::error, 1, "/version",
                           fmt::format("version {} has no effect: version {} is in force",
                                       lint.content->version, input.in_force->version)};
}

json to_json(const std::vector<located_finding>& findings)
{
    auto list = json::array();
    for (const auto& finding : findings) {
        list.push_back({{"severity", name_of(finding.severity)},
                        {"line", finding.line},
                        {"path", finding.path},
                        {"message", finding.message}});
    }
    return list;
}

json to_json(const std::vector<config_difference>& differences)
{
    auto list = json::array();
    for (const auto& difference : differences) {
        list.push_back({{"change", name_of(difference.change)},
                        {"section", name_of(difference.section)},
                        {"name", difference.name},
                        {"field", difference.field},
                        {"before", difference.before},
                        {"after", difference.after}});
    }
    return list;
}
} // namespace

command_result check_config_file(const check_input& input)
{
    auto lint = lint_config(input.text);
    if (const auto finding = check_version(input, lint)) {
        lint.findings.push_back(*finding);
    }
    std::vector<config_difference> differences;
    if (input.in_force && lint.content) {
        differences = compare_configs(*input.in_force, *lint.content);
    }
    const bool fails = lint.has_errors() || (input.strict && !lint.findings.empty());
    command_result result;
    result.code = fails ? exit_code::refused : exit_code::ok;
    if (input.json) {
        result.output =
            json{{"findings", to_json(lint.findings)}, {"differences", to_json(differences)}}.dump(
                -1, ' ', false, json::error_handler_t::replace) +
            "\n";
        return result;
    }
    for (const auto& finding : lint.findings) {
        result.output +=
            fmt::format("{}:{}: {}: {}{}{}\n", input.name, finding.line, name_of(finding.severity),
                        finding.path, finding.path.empty() ? "" : ": ", finding.message);
    }
    for (const auto& difference : differences) {
        result.output += text_of(difference);
    }
    const auto errors =
        std::count_if(lint.findings.begin(), lint.findings.end(), [](const auto& finding) {
            return finding.severity == finding_severity::error;
        });
    result.output += fmt::format("{} errors, {} warnings", errors,
                                 static_cast<std::ptrdiff_t>(lint.findings.size()) - errors);
    result.output +=
        input.in_force ? fmt::format(", {} differences\n", differences.size()) : std::string{"\n"};
    return result;
}

} // namespace jujubevalve
