#include "ctl/command_result.h"

#include <fmt/format.h>
#include <utility>

namespace jujubevalve
{

using nlohmann::json;

exit_code exit_code_of(result_code code)
{
    if (code == result_code::platform_unavailable) {
        return exit_code::unavailable;
    }
    return code == result_code::platform_outcome_unknown ? exit_code::unknown : exit_code::refused;
}

command_result failed(bool json_output, const std::vector<failure>& errors, json details)
{
    command_result result;
    auto list = json::array();
    for (const auto& error : errors) {
        const auto code = static_cast<int>(error.code);
        const auto type = describe(error.code).name;
        list.push_back({{"code", code}, {"type", type}, {"message", error.message}});
        result.errors += fmt::format("error {} {}: {}\n", code, type, error.message);
    }
    result.code = exit_code_of(errors.front().code);
    if (json_output) {
        details["errors"] = std::move(list);
        result.output = details.dump() + "\n";
        result.errors.clear();
    }
    return result;
}

command_result wrong_usage(const std::string& message)
{
    return {exit_code::usage, {}, fmt::format("error: {}; --help shows the usage\n", message)};
}

command_result succeeded(bool json_output, const json& value, std::string text)
{
    return {exit_code::ok, json_output ? value.dump() + "\n" : std::move(text), {}};
}

} // namespace jujubevalve
