#pragma once

#include "core/result.h"
#include "core/time_ms.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// The answer of GET /v1/instances.
struct instance_answer {
    time_ms valid{0};                   ///< lifetime of the answer
    std::vector<std::string> addresses; ///< ip:port, nearest first
    std::string key_prefix;
    std::string key_home; ///< ip:port of the instance that issued the prefix

    friend bool operator==(const instance_answer&, const instance_answer&) = default;
};

/// Parses the response body. Fails with `malformed_json` if it is malformed.
result<instance_answer> parse_instances(const std::string& body);

} // namespace jujubevalve
