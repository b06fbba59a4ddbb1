#pragma once

#include "ctl/command_result.h"
#include "dispatch/fleet_config.h"

#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// A configuration to be checked, and what it is compared with.
struct check_input {
    std::string name; ///< of the file, for messages
    std::string_view text;
    std::optional<fleet_config_content> in_force; ///< nothing: differences are not shown
    bool json{false};
    bool strict{false}; ///< warnings fail the check, too
};

/// Checks the configuration of the entry instances before it is sent. Exits with 0 if there is
/// nothing to report but warnings, and with 1 if there are errors or, if `strict`, warnings.
command_result check_config_file(const check_input& input);

} // namespace jujubevalve
