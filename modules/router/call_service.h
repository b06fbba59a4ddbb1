#pragma once

#include "router/request_context.h"
#include "router/service_context.h"

namespace jujubevalve
{

/// Runs calls to plain services. A non-idempotent call runs at most once. Thread-safe.
class call_service
{
public:
    explicit call_service(service_context& context);

    /// Runs a caller's call, joins an earlier attempt, or forwards it to the home of the
    /// idempotency key, i.e. the only incarnation that may run it. Blocks.
    call_answer call(const caller_request& request, const std::string& kind);

    /// Runs a call that another instance has forwarded. Blocks.
    wire::forward_reply answer(const wire::forward_request& request);

private:
    /// A validated call with its route and cost.
    struct accepted_call {
        std::string account;
        std::string key;
        int attempt{0};
        bool forwarded{false}; ///< received from another instance; not forwarded again
        std::shared_ptr<const route_matcher> match;
        route_target target;
        call_request body;
        token_count cost{0};
    };

    /// Result of one attempt at a backend server.
    enum class try_result { done, try_next, failed };

    result<accepted_call> prepare(const std::string& bearer_key, const std::string& kind,
                                  const std::string& body) const;
    result<accepted_call> prepare_target(accepted_call prepared, const route_target& target,
                                         const std::string& kind, const std::string& body) const;
    call_answer run_non_idempotent(const accepted_call& accepted);
    call_answer run_with_intent(const accepted_call& accepted);
    call_answer after_intent(const accepted_call& accepted, execution_id id,
                             const home_decision& decision,
                             const execution_table::registration& registration);
    home_decision insert_intent(const accepted_call& accepted);
    call_answer follow_decision(const accepted_call& accepted, const home_decision& decision);
    call_answer forward(const accepted_call& accepted, const home_decision& decision);
    call_answer begin_locally(const accepted_call& accepted, std::int64_t epoch);
    [[nodiscard]] execution_request make_execution_request(const accepted_call& accepted,
                                                           std::int64_t epoch,
                                                           bool home_confirmed) const;
    call_answer run_or_join(const accepted_call& accepted,
                            const execution_table::registration& registration);
    call_answer wait_for_end(const accepted_call& accepted,
                             const execution_table::registration& registration);

    void run(const accepted_call& accepted, execution_id id, execution& running);
    void run_admitted(const accepted_call& accepted, execution_id id, execution& running);
    try_result try_server(const accepted_call& accepted, execution_id id, execution& running,
                          std::vector<std::string>& tried);
    try_result conclude(const accepted_call& accepted, execution_id id, execution& running,
                        spend_ticket& ticket, const backend_choice& choice,
                        const call_result& ended);
    void finish_answered(const accepted_call& accepted, execution_id id, execution& running,
                         const spend_ticket& ticket, const call_result& ended);
    void finish_refused(const accepted_call& accepted, execution_id id, execution& running,
                        failure error, time_ms retry_after = {});
    void finish_unknown(const accepted_call& accepted, execution_id id, execution& running,
                        const spend_ticket& ticket);
    [[nodiscard]] call_answer refused(const accepted_call& accepted, failure error,
                                      run_outcome outcome);

    service_context& context_;
    request_parser parser_;
    key_home home_;
    steady_clock_ms clock_;
    std::mutex retry_mutex_;
    retry_budget retries_;
};

} // namespace jujubevalve
