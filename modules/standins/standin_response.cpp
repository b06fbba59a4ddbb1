#include "standins/standin_response.h"

namespace jujubevalve
{

http_response json_response(int http_status, const nlohmann::json& body)
{
    http_response response;
    response.status = http_status;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

http_response error_response(int http_status, const std::string& type, bool not_run)
{
    return json_response(
        http_status, {{"error", {{"type", type}, {"outcome", not_run ? "not_run" : "unknown"}}}});
}

} // namespace jujubevalve
