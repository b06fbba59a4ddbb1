#include "storage/http_platform.h"

#include "http/http_client.h"
#include "storage/platform_codec.h"

#include <fmt/format.h>

namespace jujubevalve
{

namespace
{
/// Max size of a response; the rows of a whole table fit.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.' || c == '_' || c == '~' || c == '/';
}

std::string percent_encode(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        if (is_unreserved(c)) {
            encoded += c;
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

// Converts an unsuccessful exchange into a failure, for calls that are read-only or can be
// repeated.
failure to_failure(const http_reply& reply, std::string_view operation)
{
    if (reply.error) {
        return {result_code::platform_unavailable,
                fmt::format("{}: {}", operation,
                            *reply.error == http_error::not_delivered
                                ? "the platform is not reachable"
                                : "the answer was lost")};
    }
    if (reply.status == 401) {
        return {result_code::unauthenticated,
                fmt::format("{}: the platform refused the credential", operation)};
    }
    if (reply.status == 404) {
        return {result_code::unknown_name, fmt::format("{}: it does not exist", operation)};
    }
    const auto code =
        reply.status >= 500 ? result_code::platform_unavailable : result_code::malformed_json;
    return {code,
            fmt::format("{}: the platform answered with HTTP status {}", operation, reply.status)};
}
} // namespace

class http_platform::impl
{
public:
    explicit impl(const http_platform_options& options)
        : options_{options}
    {
    }

    http_reply call(const char* method, const std::string& path, std::string body,
                    bool send_once = false)
    {
        http_call call;
        call.method = method;
        call.url = "http://" + options_.address + path;
        call.headers = {{"Authorization", "Bearer " + options_.credential},
                        {"Content-Type", "application/json"}};
        call.body = std::move(body);
        call.connect_timeout = options_.connect_timeout;
        call.timeout = options_.timeout;
        call.send_once = send_once;
        call.max_body_bytes = max_response_bytes;
        return client_.perform(call);
    }

private:
    http_platform_options options_;
    http_client client_;
};

http_platform::http_platform(const http_platform_options& options)
    : impl_{std::make_unique<impl>(options)}
{
}

http_platform::~http_platform() = default;

commit_result http_platform::commit(const transaction& change)
{
    auto body = encode_transaction(change);
    if (!body) {
        return {commit_outcome::unavailable, {}, {}};
    }
    // If a commit were sent twice, the second could report a conflict although the first took
    // effect.
    const auto reply = impl_->call("POST", "/v1/commit", std::move(body).value(), true);
    // 503 and any 4xx except 409 mean that the transaction was not executed.
    const bool not_executed = reply.error == http_error::not_delivered || reply.status == 503 ||
                              (reply.status >= 400 && reply.status < 500 && reply.status != 409);
    if (not_executed) {
        return {commit_outcome::unavailable, {}, {}};
    }
    const auto commit = decode_commit_result(reply.body);
    if (reply.error || !commit || (!reply.ok() && reply.status != 409)) {
        return {commit_outcome::unknown, {}, {}};
    }
    return *commit;
}

result<std::vector<table_row>> http_platform::read(const std::vector<std::string>& keys)
{
    auto body = encode_names("keys", keys);
    if (!body) {
        return body.error();
    }
    const auto reply = impl_->call("POST", "/v1/read", std::move(body).value());
    if (!reply.ok()) {
        return to_failure(reply, "read of rows");
    }
    return decode_rows(reply.body);
}

result<std::vector<table_row>> http_platform::scan(const std::string& prefix,
                                                   const std::string& after, std::size_t limit)
{
    auto body = encode_scan({prefix, after, limit});
    if (!body) {
        return body.error();
    }
    const auto reply = impl_->call("POST", "/v1/scan", std::move(body).value());
    if (!reply.ok()) {
        return to_failure(reply, fmt::format("scan of rows \"{}\"", prefix));
    }
    return decode_rows(reply.body);
}

status http_platform::put(const std::string& name, const std::string& content)
{
    const auto reply = impl_->call("PUT", "/v1/objects/" + percent_encode(name), content);
    if (reply.ok()) {
        return success();
    }
    const auto operation = fmt::format("put of object \"{}\"", name);
    const bool may_be_done = reply.error && *reply.error != http_error::not_delivered;
    if (may_be_done || (reply.status >= 500 && reply.status != 503)) {
        return failure{result_code::platform_outcome_unknown,
                       fmt::format("{}: the answer was lost", operation)};
    }
    return to_failure(reply, operation);
}

result<std::string> http_platform::get(const std::string& name)
{
    auto reply = impl_->call("GET", "/v1/objects/" + percent_encode(name), {});
    if (!reply.ok()) {
        return to_failure(reply, fmt::format("get of object \"{}\"", name));
    }
    return std::move(reply.body);
}

result<std::vector<std::string>> http_platform::list(const std::string& prefix)
{
    const auto reply = impl_->call("GET", "/v1/objects?prefix=" + percent_encode(prefix), {});
    if (!reply.ok()) {
        return to_failure(reply, fmt::format("list of objects \"{}\"", prefix));
    }
    return decode_names("names", reply.body);
}

result<std::vector<listed_instance>> http_platform::instances()
{
    const auto reply = impl_->call("GET", "/v1/instances", {});
    if (!reply.ok()) {
        return to_failure(reply, "read of the instance list");
    }
    return decode_instances(reply.body);
}

} // namespace jujubevalve
