#pragma once

#include "router/request_context.h"
#include "router/service_context.h"

namespace jujubevalve
{

/// Runs calls of plain services; a non-idempotent call runs at most once. Safe to use from any
/// thread.
class call_service
{
public:
    explicit call_service(service_context& context);

    /// Runs a caller's call, joins an earlier attempt, or sends it on to the key's home. Blocks.
    call_answer call(const caller_request& request, const std::string& kind);

    /// Runs a call that another instance has sent on. Blocks.
    wire::forward_reply answer(const wire::forward_request& request);

private:
    /// One accepted call.
    struct job {
        std::string account;
        std::string key;
        int attempt{0};
        bool forwarded{false}; ///< came from another instance and is not sent on again
        std::shared_ptr<const router_match> match;
        route_target target;
        call_request body;
        token_count cost{0};
    };

    /// What one try at a backend server led to.
    enum class try_result { done, try_next, failed };

    result<job> prepare(const std::string& bearer_key, const std::string& kind,
                        const std::string& body) const;
    result<job> prepare_target(job prepared, const route_target& target, const std::string& kind,
                               const std::string& body) const;
    call_answer run_non_idempotent(const job& job);
    call_answer run_with_intent(const job& job);
    call_answer after_intent(const job& job, execution_id id, const home_decision& decision,
                             const execution_table::place& place);
    home_decision insert_intent(const job& job);
    call_answer follow(const job& job, const home_decision& decision);
    call_answer forward(const job& job, const home_decision& decision);
    call_answer begin_here(const job& job, std::int64_t epoch);
    [[nodiscard]] execution_request to_execution(const job& job, std::int64_t epoch,
                                                 bool home_confirmed) const;
    call_answer take_place(const job& job, const execution_table::place& place);
    call_answer wait_for(const job& job, const execution_table::place& place);

    void run(const job& job, execution_id id, execution& running);
    void run_admitted(const job& job, execution_id id, execution& running);
    try_result try_server(const job& job, execution_id id, execution& running,
                          std::vector<std::string>& tried);
    try_result conclude(const job& job, execution_id id, execution& running, spend_ticket& ticket,
                        const backend_choice& choice, const call_result& ended);
    void finish_answered(const job& job, execution_id id, execution& running,
                         const spend_ticket& ticket, const call_result& ended);
    void finish_refused(const job& job, execution_id id, execution& running, failure why,
                        time_ms retry_after = {});
    void finish_unknown(const job& job, execution_id id, execution& running,
                        const spend_ticket& ticket);
    [[nodiscard]] call_answer refused(const job& job, failure why, run_outcome outcome);

    service_context& context_;
    request_parser parser_;
    key_home home_;
    steady_clock_ms clock_;
    std::mutex retry_mutex_;
    retry_budget retries_;
};

} // namespace jujubevalve
