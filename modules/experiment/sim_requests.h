#pragma once

#include "budget/budget.h"
#include "experiment/messages.h"
#include "requests/requests.h"
#include "routing/routing.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

class sim_router;
class world;

/// Request handling of one simulated router, composed as `chat_service` and `call_service` compose
/// it in the real process.
class sim_requests
{
public:
    sim_requests(world& sim, sim_router& router, const std::string& incarnation);

    void set_config(const config_snapshot& config);
    void set_listed_leaving(const std::set<std::string>& names);
    /// Updates load reports and admission shares and expires old entries. Called every second.
    void tick();

    /// Handles a request from a caller or, if forwarded, from another router.
    void receive(const sim_request& request, const reply_function& reply);

    /// Breaks every open connection, as when the process ends.
    void break_connections();

    /// Begins to drain.
    void drain();

    [[nodiscard]] std::size_t active() const { return registry_.active(); }
    [[nodiscard]] std::optional<final_records> final() const;
    [[nodiscard]] std::string prefix(const std::string& account) const;

private:
    struct execution {
        sim_request request;
        execution_id id{0};
        std::vector<std::uint64_t> waiting_connections; ///< that receive the reply
        std::vector<std::string> tried;
        reservation_id reservation{0};
        std::string server;
        std::int64_t n{0}; ///< request number at the server
        bool ended{false};
    };
    using run_ptr = std::shared_ptr<execution>;

    struct server_group {
        explicit server_group(std::uint64_t seed)
            : selector{seed}
        {
        }
        backend_selector selector;
        admission_queue queue;
    };

    void reply_to(std::uint64_t connection, const sim_reply& reply);
    void refuse(std::uint64_t connection, const sim_request& request, result_code code,
                run_outcome outcome, time_ms retry_after = time_ms{});
    [[nodiscard]] sim_reply refusal(const sim_request& request, result_code code,
                                    run_outcome outcome, time_ms retry_after);
    void apply_home_decision(std::uint64_t connection, const sim_request& request,
                             const home_decision& decision);
    void forward(std::uint64_t connection, const sim_request& request, const std::string& to);
    void insert_intent(const run_ptr& run, int attempt);
    void after_intent(const run_ptr& run, const home_decision& decision);
    run_ptr begin(std::uint64_t connection, const sim_request& request, std::int64_t epoch,
                  bool home_confirmed);
    void admit(const run_ptr& run);
    void apply_admission(const std::string& server_set, const admission_change& change);
    void reserve(const run_ptr& run);
    void try_server(const run_ptr& run);
    void submit(const run_ptr& run);
    void resume_from_other_router(const run_ptr& run);
    void resume_silent(const run_ptr& run, const std::string& server, const std::string& key);
    void handle_server_answer(const run_ptr& run, const std::string& key,
                              const server_answer& answer);
    void finish_answered(const run_ptr& run, const server_answer& answer);
    void finish_refused(const run_ptr& run, result_code code, time_ms retry_after = time_ms{});
    void finish_unknown(const run_ptr& run);
    void end(const run_ptr& run, const sim_reply& reply);
    [[nodiscard]] server_group& group_of(const std::string& server_set);
    [[nodiscard]] execution_request to_execution(const sim_request& request, std::int64_t epoch,
                                                 bool home_confirmed) const;

    world& sim_;
    sim_router& router_;
    key_epochs epochs_;
    key_prefix prefixes_;
    key_home home_;
    execution_registry registry_;
    retry_budget retries_;
    std::map<std::string, std::unique_ptr<server_group>> groups_;
    std::map<execution_id, run_ptr> runs_;
    std::map<std::uint64_t, reply_function> connections_;
    std::uint64_t last_connection_{0};
};

} // namespace jujubevalve::experiment
