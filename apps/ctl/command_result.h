#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Exit codes of jujubevalve-ctl, documented in its --help.
enum class exit_code : int { ok = 0, refused = 1, usage = 2, unavailable = 3, unknown = 4 };

/// What a command prints and returns.
struct command_result {
    exit_code code{exit_code::ok};
    std::string output; ///< for standard output
    std::string errors; ///< for standard error
};

/// The exit code for a failure: unavailable or unknown platform, otherwise refused.
exit_code exit_code_of(result_code code);

/// The result of a command that failed. Text mode prints one line for each error; JSON mode prints
/// `{"errors":[{code,type,message}]}` with the fields of `details` to standard output.
command_result failed(bool json, const std::vector<failure>& errors,
                      nlohmann::json details = nlohmann::json::object());

/// The result of a command that was called wrongly.
command_result wrong_usage(const std::string& message);

/// The result of a command that succeeded, in the form that the operator asked for.
command_result succeeded(bool json, const nlohmann::json& value, std::string text);

} // namespace jujubevalve
