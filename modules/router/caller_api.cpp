#include "router/caller_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace jujubevalve
{

namespace
{
using json = nlohmann::json;

constexpr time_ms address_list_ttl{10'000};
constexpr time_ms stream_ping_interval{5000};
constexpr std::string_view calls_path = "/v1/calls/";

http_response json_response(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump() + "\n";
    return response;
}

http_response text_response(int status, std::string text)
{
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "text/plain";
    response.body = std::move(text);
    return response;
}

json error_body(const refusal& refused)
{
    const auto& info = describe(refused.error.code);
    json error{{"code", static_cast<int>(refused.error.code)},
               {"type", info.name},
               {"outcome", to_string(refused.outcome)},
               {"message", refused.error.message}};
    if (!refused.retry_addresses.empty()) {
        error["try"] = refused.retry_addresses;
    }
    return {{"error", error}};
}

int attempt_of(const http_request& request)
{
    const auto text = request.header("jujubevalve-attempt");
    int attempt = 0;
    std::from_chars(text.data(), text.data() + text.size(), attempt);
    return attempt > 0 ? attempt : 0;
}

caller_request to_caller_request(const http_request& request)
{
    return {std::string{route_matcher::bearer_key_from_header(request.header("authorization"))},
            std::string{request.header("idempotency-key")},
            std::string{request.header("jujubevalve-resume")}, attempt_of(request), request.body};
}

json usage_json(const std::optional<token_usage>& usage)
{
    if (!usage) {
        return nullptr;
    }
    return {{"prompt_tokens", usage->prompt},
            {"completion_tokens", usage->completion},
            {"total_tokens", usage->prompt + usage->completion}};
}

std::string chunk(const std::string& model, std::size_t index, const std::string& text)
{
    const json body{{"object", "chat.completion.chunk"},
                    {"model", model},
                    {"index", index},
                    {"choices", json::array({{{"index", 0}, {"delta", {{"content", text}}}}})}};
    return "id: " + std::to_string(index) + "\ndata: " + body.dump() + "\n\n";
}

std::string last_chunk(const std::string& model, const std::optional<token_usage>& usage)
{
    const json body{
        {"object", "chat.completion.chunk"},
        {"model", model},
        {"choices",
         json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}})},
        {"usage", usage_json(usage)}};
    return "data: " + body.dump() + "\n\ndata: [DONE]\n\n";
}

// The status line has already been sent, so the error is reported as the last event of the stream.
std::string error_chunk(const execution_end& end)
{
    refusal reported{*end.error, end.outcome, end.retry_after, end.retry_addresses};
    return "data: " + error_body(reported).dump() + "\n\n";
}

// Streams the output of an execution as server-sent events.
class chat_stream
{
public:
    chat_stream(std::shared_ptr<execution> running, std::string model)
        : running_{std::move(running)}
        , model_{std::move(model)}
    {
    }

    stream_step next(std::string& bytes)
    {
        if (ended_) {
            return cut_ ? stream_step::cut : stream_step::end;
        }
        const auto progress = running_->read(index_, stream_ping_interval);
        for (const auto& part : progress.parts) {
            bytes += chunk(model_, index_++, part);
        }
        if (progress.ended) {
            finish(bytes);
        } else if (bytes.empty()) {
            bytes = ": waiting\n\n";
        }
        return stream_step::data;
    }

private:
    void finish(std::string& bytes)
    {
        const auto end = running_->wait_ended(time_ms{0});
        ended_ = true;
        cut_ = end->error.has_value();
        bytes += cut_ ? error_chunk(*end) : last_chunk(model_, end->usage);
    }

    std::shared_ptr<execution> running_;
    std::string model_;
    std::size_t index_{0};
    bool ended_{false};
    bool cut_{false};
};
} // namespace

caller_api::caller_api(service_context& context, chat_service& chats, call_service& calls)
    : context_{context}
    , chats_{chats}
    , calls_{calls}
    , prefixes_{context.settings.fleet_secret}
    , open_responses_{std::make_shared<std::atomic<std::int64_t>>(0)}
{
}

http_response caller_api::handle(const http_request& request)
{
    ++context_.counts.at("http_requests");
    ++*open_responses_;
    auto response = route(request);
    if (response.status >= 400) {
        ++context_.counts.at("http_status_" + std::to_string(response.status));
    }
    response.on_closed = [open = open_responses_] { --*open; };
    return response;
}

http_response caller_api::route(const http_request& request)
{
    if (request.body_too_large) {
        return refusal_response(
            refuse({result_code::request_too_large,
                    "the body is longer than " +
                        std::to_string(context_.settings.max_request_bytes) + " bytes"}));
    }
    const std::string_view path = request.path;
    const bool get = request.method == "GET";
    const bool is_post_path = path == "/v1/chat/completions" ||
                              (path.starts_with(calls_path) && path.size() > calls_path.size());
    const bool is_get_path =
        path == "/v1/instances" || path == "/healthz" || path == "/readyz" || path == "/metrics";
    if (!is_post_path && !is_get_path) {
        return refusal_response(
            refuse({result_code::unknown_path, "no such path: " + request.path}));
    }
    if (is_get_path != get || (is_post_path && request.method != "POST")) {
        return refusal_response(refuse({result_code::method_not_allowed,
                                        request.method + " is not allowed on " + request.path}));
    }
    if (path == "/healthz") {
        return health();
    }
    if (path == "/readyz") {
        return ready();
    }
    if (path == "/metrics") {
        return metrics();
    }
    if (path == "/v1/instances") {
        return instances(request);
    }
    return path == "/v1/chat/completions" ? chat(request) : call(request);
}

http_response caller_api::instances(const http_request& request)
{
    if (const auto refused = check_accepting(context_)) {
        return refusal_response(*refused);
    }
    const auto account = context_.config.match()->account_of(
        route_matcher::bearer_key_from_header(request.header("authorization")));
    if (!account) {
        return refusal_response(refuse(account.error()));
    }
    const auto query_value = [&request](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string{} : found->second;
    };
    json list = json::array();
    for (const auto& item :
         context_.members.addresses({query_value("failure_domain"), query_value("region")})) {
        list.push_back({{"instance", item.instance},
                        {"address", item.http_address},
                        {"failure_domain", item.failure_domain}});
    }
    json body{{"valid_ms", address_list_ttl.count()}, {"instances", list}};
    if (!context_.draining) {
        body["key_prefix"] = prefixes_.issue(context_.incarnation,
                                             context_.executions.epoch(clock_.now()), *account);
        body["key_home"] = context_.members.own().http_address;
    }
    return json_response(200, body);
}

http_response caller_api::chat(const http_request& request)
{
    const auto started = chats_.start(to_caller_request(request));
    if (started.refused) {
        return refusal_response(*started.refused);
    }
    if (!started.running->wait_started(context_.settings.request_timeout)) {
        return refusal_response(
            refuse({result_code::backend_timeout, "the backend server has not answered yet"}));
    }
    const auto end = started.running->wait_ended(time_ms{0});
    if (end && end->error) {
        return refusal_response(
            {*end->error, end->outcome, end->retry_after, end->retry_addresses});
    }
    return started.stream ? streamed_chat(started) : complete_chat(started);
}

http_response caller_api::complete_chat(const chat_start& started) const
{
    const auto end = started.running->wait_ended(context_.settings.request_timeout);
    if (!end) {
        return refusal_response(
            refuse({result_code::backend_timeout, "the answer is not complete yet"}));
    }
    if (end->error) {
        return refusal_response(
            {*end->error, end->outcome, end->retry_after, end->retry_addresses});
    }
    const json message{{"role", "assistant"}, {"content", started.running->text()}};
    auto response = json_response(
        200, {{"object", "chat.completion"},
              {"model", started.model},
              {"choices",
               json::array({{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}})},
              {"usage", usage_json(end->usage)}});
    response.headers["Jujubevalve-Resume"] = started.running->resume();
    return response;
}

http_response caller_api::streamed_chat(const chat_start& started) const
{
    http_response response;
    response.headers["Content-Type"] = "text/event-stream";
    response.headers["Cache-Control"] = "no-cache";
    response.headers["Jujubevalve-Resume"] = started.running->resume();
    response.stream = [stream = std::make_shared<chat_stream>(started.running, started.model)](
                          std::string& bytes) { return stream->next(bytes); };
    return response;
}

http_response caller_api::call(const http_request& request)
{
    auto answer = calls_.call(to_caller_request(request), request.path.substr(calls_path.size()));
    if (answer.refused) {
        return refusal_response(*answer.refused);
    }
    http_response response;
    response.status = answer.http_status;
    response.headers["Content-Type"] =
        answer.content_type.empty() ? "application/json" : answer.content_type;
    response.body = std::move(answer.body);
    return response;
}

http_response caller_api::health() const
{
    return text_response(200, "ok\n");
}

http_response caller_api::ready() const
{
    if (const auto refused = check_accepting(context_)) {
        return refusal_response(*refused);
    }
    if (context_.draining) {
        return refusal_response(refuse({result_code::draining, "this instance is shutting down"}));
    }
    return text_response(200, "ready\n");
}

http_response caller_api::metrics()
{
    context_.budgets.export_counts();
    context_.counts.at("executions_active") =
        static_cast<std::int64_t>(context_.executions.active());
    context_.counts.at("responses_open") = open_responses_->load();
    context_.counts.at("instances_live") = context_.members.live_instances();
    return text_response(200, context_.counts.to_text());
}

http_response caller_api::refusal_response(const refusal& refused) const
{
    auto response = json_response(describe(refused.error.code).http_status, error_body(refused));
    if (refused.retry_after > time_ms{0}) {
        constexpr std::int64_t ms_per_second = 1000;
        response.headers["Retry-After"] =
            std::to_string((refused.retry_after.count() + ms_per_second - 1) / ms_per_second);
    }
    ++context_.counts.at("refused_" + std::string{describe(refused.error.code).name});
    return response;
}

} // namespace jujubevalve
