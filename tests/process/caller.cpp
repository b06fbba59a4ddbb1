#include "process/caller.h"

#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace jujubevalve::process
{

namespace
{
using nlohmann::json;

http_headers headers_of(const std::string& key, int attempt)
{
    return {{"Authorization", std::string{"Bearer "} + bearer_key},
            {"Content-Type", "application/json"},
            {"Idempotency-Key", key},
            {"Jujubevalve-Attempt", std::to_string(attempt)}};
}

std::string error_field(const std::string& body, const char* field)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error")) {
        return {};
    }
    return parsed["error"].value(field, "");
}
} // namespace

call_reply place_order(const std::string& router, const std::string& key, const std::string& order,
                       int attempt, time_ms timeout)
{
    http_client client;
    http_call call;
    call.method = "POST";
    call.url = "http://" + router + "/v1/calls/refill-order";
    call.headers = headers_of(key, attempt);
    call.body = json{{"order", order}, {"bins", 3}}.dump();
    call.timeout = timeout;
    call.send_once = true;
    call_reply reply{client.perform(call), {}, {}};
    reply.type = error_field(reply.http.body, "type");
    reply.outcome = error_field(reply.http.body, "outcome");
    return reply;
}

std::string fetch_prefix(const std::string& router)
{
    http_client client;
    http_call call;
    call.url = "http://" + router + "/v1/instances";
    call.headers = {{"Authorization", std::string{"Bearer "} + bearer_key}};
    const auto reply = client.perform(call);
    const auto parsed = json::parse(reply.body, nullptr, false);
    return parsed.is_object() ? parsed.value("key_prefix", "") : std::string{};
}

chat_caller::chat_caller(std::string key, int tokens)
    : key_{std::move(key)}
    , prompt_{fmt::format("brief {} tokens={}", key_, tokens)}
    , tokens_{tokens}
{
}

bool chat_caller::run(const std::vector<std::string>& routers, int attempts)
{
    for (int i = 0; i < attempts; ++i) {
        if (attempt(routers[static_cast<std::size_t>(i) % routers.size()])) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
    return false;
}

bool chat_caller::attempt(const std::string& router, time_ms idle)
{
    answer_checker checker{prompt_, tokens_};
    received_ = 0;
    http_client client;
    http_call call;
    call.method = "POST";
    call.url = "http://" + router + "/v1/chat/completions";
    call.headers = headers_of(key_, ++attempts_);
    if (!resume_.empty()) {
        call.headers["Jujubevalve-Resume"] = resume_;
    }
    call.body = json{{"model", "grit-assist"},
                     {"stream", true},
                     {"max_tokens", tokens_},
                     {"messages", json::array({{{"role", "user"}, {"content", prompt_}}})}}
                    .dump();
    call.timeout = seconds(120);
    call.idle_timeout = idle;
    call.send_once = true;
    call.on_data = [&](std::string_view bytes) {
        received_ += checker.feed(bytes);
        return true;
    };
    const auto reply = client.perform(call);
    const auto resume = reply.headers.find("jujubevalve-resume");
    if (resume != reply.headers.end()) {
        resume_ = resume->second;
    }
    wrong_ = wrong_ || checker.wrong();
    type_ = error_field(reply.body, "type");
    outcome_ = error_field(reply.body, "outcome");
    last_error_ = fmt::format(
        "attempt {} at {}: status {} error {} tokens {} of {} ended {} broken off {} {}", attempts_,
        router, reply.status, reply.error ? static_cast<int>(*reply.error) : -1, checker.tokens(),
        tokens_, checker.ended(), checker.broken_off(), reply.body);
    return reply.ok() && checker.ended() && !checker.wrong() && !checker.broken_off();
}

} // namespace jujubevalve::process
