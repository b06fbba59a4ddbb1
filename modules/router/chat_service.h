#pragma once

#include "router/request_context.h"
#include "router/service_context.h"
#include "router/unresolved_runs.h"

namespace jujubevalve
{

/// Runs chat requests, which are idempotent, on inference engines. Thread-safe.
class chat_service
{
public:
    chat_service(service_context& context, unresolved_runs& unresolved);

    /// Validates and starts a chat, or joins the run of an earlier attempt with the same key.
    chat_start start(const caller_request& request);

private:
    /// A validated chat request with its route and reservation.
    struct accepted_chat {
        execution_id id{0};
        std::shared_ptr<execution> running;
        std::string account;
        std::string key; ///< idempotency key, also names the bill entry
        std::shared_ptr<const route_matcher> match;
        route_target target;
        chat_request chat;
        token_count answer_tokens{0};
        token_count reservation{0};
        std::optional<resume_target> resume;
    };

    /// Result of one attempt at a backend server.
    enum class try_result { done, try_next, failed };

    result<accepted_chat> prepare(const caller_request& request) const;
    void run(const accepted_chat& accepted);
    void run_new(const accepted_chat& accepted);
    bool run_resumed(const accepted_chat& accepted);
    try_result try_server(const accepted_chat& accepted, spend_ticket& ticket,
                          std::vector<std::string>& tried);
    try_result conclude(const accepted_chat& accepted, spend_ticket& ticket,
                        const backend_choice& choice, const std::string& key,
                        const stream_result& ended);
    [[nodiscard]] engine_request make_request(const accepted_chat& accepted,
                                              const std::string& key) const;
    [[nodiscard]] event_sink make_sink(const accepted_chat& accepted) const;
    void finish_answered(const accepted_chat& accepted, const std::optional<usage>& used);
    void finish_refused(const accepted_chat& accepted, failure error, time_ms retry_after = {});
    void finish_lost(const accepted_chat& accepted, failure error);

    service_context& context_;
    unresolved_runs& unresolved_;
    request_parser parser_;
    resume_token tokens_;
    steady_clock_ms clock_;
    std::mutex retry_mutex_;
    retry_budget retries_;
};

} // namespace jujubevalve
