#pragma once

#include "http/http.h"
#include "router/call_service.h"
#include "router/chat_service.h"

#include <atomic>

namespace jujubevalve
{

/// Maps callers' HTTP requests to the services: chats, calls, the instance list, health,
/// readiness and metrics.
class caller_api
{
public:
    caller_api(service_context& context, chat_service& chats, call_service& calls);

    /// Handles one request. Called from connection threads.
    http_response handle(const http_request& request);

    /// Returns the number of responses that are still being produced or sent.
    [[nodiscard]] std::int64_t open_responses() const { return open_responses_->load(); }

private:
    http_response route(const http_request& request);
    http_response instances(const http_request& request);
    http_response chat(const http_request& request);
    http_response call(const http_request& request);
    http_response health() const;
    http_response ready() const;
    http_response metrics();
    [[nodiscard]] http_response complete_chat(const chat_start& started) const;
    [[nodiscard]] http_response streamed_chat(const chat_start& started) const;
    [[nodiscard]] http_response refusal_response(const refusal& refused) const;

    service_context& context_;
    chat_service& chats_;
    call_service& calls_;
    key_prefix prefixes_;
    steady_clock_ms clock_;
    std::shared_ptr<std::atomic<std::int64_t>> open_responses_;
};

} // namespace jujubevalve
