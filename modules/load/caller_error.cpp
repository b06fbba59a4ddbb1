#include "load/caller_error.h"

#include "backend/backend_refusal.h"
#include "core/settings.h"

#include <nlohmann/json.hpp>

namespace jujubevalve
{

caller_error read_caller_error(int http_status, const http_headers& headers,
                               const std::string& body)
{
    // Errors of the caller API and of backend servers share type, outcome and Retry-After.
    const auto common = parse_refusal(headers, body);
    caller_error error{http_status, common.type, common.not_run, {}, common.retry_after};
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object() ||
        !parsed["error"].contains("try") || !parsed["error"]["try"].is_array()) {
        return error;
    }
    for (const auto& entry : parsed["error"]["try"]) {
        if (entry.is_string() && is_address(entry.get_ref<const std::string&>())) {
            error.try_addresses.push_back(entry.get<std::string>());
        }
    }
    return error;
}

} // namespace jujubevalve
