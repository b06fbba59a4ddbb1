#pragma once

#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace jujubevalve
{

/// Copies the fields of a JSON object to the variables mapped to their names: non-negative integers
/// and booleans. Fails with `malformed_json`, or with `invalid_field` for an unknown field or a
/// value of the wrong type.
status read_fault_fields(const std::string& body,
                         const std::map<std::string, std::int64_t*>& numbers,
                         const std::map<std::string, bool*>& switches);

} // namespace jujubevalve
