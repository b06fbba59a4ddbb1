#include "backend/backend_refusal.h"

#include "backend/call_result.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace jujubevalve
{

namespace
{
std::string text_at(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

time_ms read_retry_after(const http_headers& headers)
{
    const auto found = headers.find("retry-after");
    if (found == headers.end()) {
        return time_ms{0};
    }
    std::int64_t value = 0;
    const auto* const begin = found->second.data();
    const auto [rest, error] = std::from_chars(begin, begin + found->second.size(), value);
    const bool valid = error == std::errc{} && value >= 0 && value <= 86'400;
    return valid ? seconds(value) : time_ms{0};
}
} // namespace

backend_refusal parse_refusal(const http_headers& headers, const std::string& body)
{
    backend_refusal refusal;
    refusal.retry_after = read_retry_after(headers);
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return refusal;
    }
    const auto error = parsed.find("error");
    if (error != parsed.end() && error->is_object()) {
        refusal.type = text_at(*error, "type");
        refusal.not_run = text_at(*error, "outcome") == "not_run";
    }
    return refusal;
}

backend_outcome classify_engine_error(int http_status, const backend_refusal& refusal)
{
    // An engine may send 408 after the run has started.
    const bool client_error = http_status >= 400 && http_status < 500 && http_status != 408;
    return client_error || refusal.not_run ? backend_outcome::refused : backend_outcome::lost;
}

backend_outcome classify_call_response(int http_status, const std::string& body)
{
    if (parse_refusal({}, body).not_run) {
        return backend_outcome::refused;
    }
    const bool may_have_run = http_status >= 500 || http_status == 408 || http_status < 200;
    return may_have_run ? backend_outcome::lost : backend_outcome::ended;
}

} // namespace jujubevalve
