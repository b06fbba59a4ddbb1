#pragma once

#include "http/http_message.h"

#include <nlohmann/json.hpp>
#include <string>

namespace jujubevalve
{

/// A response with a JSON body.
http_response json_response(int http_status, const nlohmann::json& body);

/// A refusal in the error form of backend servers. `not_run` states that nothing was run.
http_response error_response(int http_status, const std::string& type, bool not_run);

} // namespace jujubevalve
