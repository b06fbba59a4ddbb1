#pragma once

#include "router/request_context.h"
#include "router/service_context.h"
#include "router/unresolved_runs.h"

namespace jujubevalve
{

/// Runs idempotent chat requests at engines. Safe to use from any thread.
class chat_service
{
public:
    chat_service(service_context& context, unresolved_runs& unresolved);

    /// Checks and starts a chat, or joins the run of an earlier attempt with the same key.
    chat_start start(const caller_request& request);

private:
    /// One accepted chat request.
    struct job {
        execution_id id{0};
        std::shared_ptr<execution> running;
        std::string account;
        std::string key; ///< for the bill
        std::shared_ptr<const router_match> match;
        route_target target;
        chat_request chat;
        token_count answer_tokens{0};
        token_count reservation{0};
        std::optional<resume_target> resume;
    };

    /// What one try at a backend server led to.
    enum class try_result { done, try_next, failed };

    result<job> prepare(const caller_request& request) const;
    void run(const job& job);
    void run_new(const job& job);
    bool run_resumed(const job& job);
    try_result try_server(const job& job, spend_ticket& ticket, std::vector<std::string>& tried);
    try_result conclude(const job& job, spend_ticket& ticket, const backend_choice& choice,
                        const std::string& key, const stream_result& ended);
    [[nodiscard]] engine_request make_request(const job& job, const std::string& key) const;
    [[nodiscard]] event_sink make_sink(const job& job) const;
    void finish_answered(const job& job, const std::optional<usage>& used);
    void finish_refused(const job& job, failure why, time_ms retry_after = {});
    void finish_lost(const job& job, failure why);

    service_context& context_;
    unresolved_runs& unresolved_;
    request_parser parser_;
    resume_token tokens_;
    steady_clock_ms clock_;
    std::mutex retry_mutex_;
    retry_budget retries_;
};

} // namespace jujubevalve
