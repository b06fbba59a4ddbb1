#include "backend/engine_request.h"

#include <nlohmann/json.hpp>

namespace jujubevalve
{

std::string to_engine_body(const engine_request& request)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        body = nlohmann::json::object();
    }
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body["max_tokens"] = request.max_tokens;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace jujubevalve
