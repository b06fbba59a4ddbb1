#pragma once

#include "experiment/event_queue.h"
#include "experiment/invariant_checker.h"
#include "recovery/recovery.h"
#include "routing/routing.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

/// A backend server: a model engine or a plain service with a number of slots. It keeps the state
/// of each request key, refuses a key that was cancelled before it arrived, and reports its load.
class sim_server
{
public:
    sim_server(backend_server row, event_queue& events, invariant_checker& checker);

    /// Queues a request. The reply is sent when the run ends, or at once if the request is refused.
    void submit(const std::string& key, const sim_request& request, server_reply reply);

    /// Sends the answer of the run with that key to `reply` too. Returns false if the key is
    /// unknown or cancelled.
    bool resume(const std::string& key, server_reply reply);

    /// Cancels the run of a key. An unknown key is recorded, so that its late arrival is refused.
    cancel_answer cancel(const std::string& key);

    /// Stops accepting new work and reports the server as leaving in its load report.
    void leave() { leaving_since_ = events_.now(); }

    /// Records that the pool table or the instance list marks the server as leaving; its load
    /// report does not.
    void announce_leaving() { announced_since_ = events_.now(); }

    [[nodiscard]] load_report report() const;
    [[nodiscard]] std::int64_t free_slots() const;
    [[nodiscard]] const backend_server& row() const { return row_; }

private:
    enum class run_state { queued, running, ended, cancelled };
    struct server_run {
        sim_request request;
        std::string incarnation;
        run_state state{run_state::queued};
        time_ms started{};
        token_count used{0};
        std::vector<server_reply> replies;
    };

    void start(const std::string& key);
    void finish(const std::string& key);
    void start_next();
    static void answer(const std::string& key, server_run& run);

    backend_server row_;
    event_queue& events_;
    invariant_checker& checker_;
    std::map<std::string, server_run, std::less<>> runs_;
    std::set<std::string, std::less<>> cancelled_before_arrival_;
    std::deque<std::string> queue_;
    std::int64_t running_{0};
    std::optional<time_ms> leaving_since_;
    std::optional<time_ms> announced_since_;
};

} // namespace jujubevalve::experiment
