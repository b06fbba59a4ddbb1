#pragma once

#include "experiment/arbiter.h"
#include "experiment/event_queue.h"
#include "recovery/recovery.h"
#include "routing/routing.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

/// A backend server: a model engine or a plain service with a number of slots. It keeps a record
/// for each request key, refuses a key that was cancelled before it arrived, and reports its load.
class sim_server
{
public:
    sim_server(backend_server row, event_queue& events, arbiter& truth);

    /// A request arrives. The reply comes when the run ends, or at once if it is refused.
    void submit(const std::string& key, const sim_request& request, server_reply reply);

    /// Follows a run by key from its start. False if the key is unknown.
    bool resume(const std::string& key, server_reply reply);

    /// Ends the run of a key, or marks the unknown key so that a late arrival is refused.
    cancel_answer cancel(const std::string& key);

    /// From now on the server takes no new work and says so in its load report.
    void leave() { leaving_since_ = events_.now(); }

    /// The table or the list says that the server is leaving; its load report does not.
    void announce_leaving() { announced_since_ = events_.now(); }

    [[nodiscard]] load_report report() const;
    [[nodiscard]] std::int64_t free_slots() const;
    [[nodiscard]] const backend_server& row() const { return row_; }

private:
    enum class run_state { queued, running, ended, cancelled };
    struct record {
        sim_request request;
        std::string incarnation;
        run_state state{run_state::queued};
        time_ms started{};
        token_count used{0};
        std::vector<server_reply> readers;
    };

    void start(const std::string& key);
    void finish(const std::string& key);
    void start_next();
    static void answer(const std::string& key, record& item);

    backend_server row_;
    event_queue& events_;
    arbiter& truth_;
    std::map<std::string, record, std::less<>> records_;
    std::set<std::string, std::less<>> blocked_;
    std::deque<std::string> queue_;
    std::int64_t running_{0};
    std::optional<time_ms> leaving_since_;
    std::optional<time_ms> announced_since_;
};

} // namespace jujubevalve::experiment
