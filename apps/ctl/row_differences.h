#pragma once

#include "config/config_changes.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace jujubevalve
{

/// The changes as text, a line for each row and each changed field. Key digests are not shown.
std::string changes_text(const config_changes& changes);

/// The changes as JSON: `[{table, name, change: "add"|"remove"|"change", fields: [...]}]`.
nlohmann::json changes_json(const config_changes& changes);

} // namespace jujubevalve
