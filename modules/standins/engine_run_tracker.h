#pragma once

#include "backend/cancel_result.h"
#include "backend/server_load.h"
#include "backend/usage.h"
#include "core/time_ms.h"
#include "standins/engine_answer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Capacity and speed of an engine stand-in.
struct engine_speed {
    std::int64_t slots{8};
    std::int64_t queue_limit{1000};
    std::int64_t tokens_per_second{100}; ///< per run
    time_ms batching_delay{20};          ///< from getting a slot to the first token
    time_ms retention{3'600'000};        ///< how long ended runs and cancelled keys are kept
};

/// A chat request to the engine stand-in.
struct engine_start {
    std::string key;
    std::string metadata; ///< JSON, of which only `budget` is read
    std::string prompt;
    token_count max_tokens{0};
    int priority{0};
};

/// Reason why a start or resume was denied; `none` if it was accepted.
enum class engine_denial { none, key_known, cancelled, queue_full, unknown_key };

/// The next event that a stream may send, if any.
struct run_progress {
    enum class state { waiting, token, last, unavailable };
    state what{state::unavailable};
    std::string text;   ///< for `token`
    std::string finish; ///< for `last`: the finish reason
    usage used;         ///< for `last`
};

/// Tokens that the engine consumed for one budget.
struct budget_spend {
    token_count prompt_tokens{0};
    token_count completion_tokens{0};
};

/// Tracks the runs of an engine stand-in: slots, priority queue, token generation over time and
/// records of ended runs. The caller passes the current time. Not thread-safe.
class engine_run_tracker
{
public:
    engine_run_tracker(const engine_speed& speed, time_ms now);

    /// Queues a run. Denied if the key is known or was cancelled before.
    engine_denial start(const engine_start& request, time_ms now);

    /// Returns `none` if a stream of the run may be read, else the reason why not.
    [[nodiscard]] engine_denial find(const std::string& key) const;

    /// Returns the run's event at this index.
    [[nodiscard]] run_progress read(const std::string& key, token_count index) const;

    /// Cancels a run. Remembers an unknown key, so that a start that arrives later is denied.
    cancel_result cancel(const std::string& key, time_ms now);

    /// Generates the tokens due by `now`, fills free slots and evicts expired records.
    void advance(time_ms now);

    /// Current number of running and queued requests.
    [[nodiscard]] server_load load() const;

    /// Tokens consumed since the start, by budget.
    [[nodiscard]] const std::map<std::string, budget_spend>& spend() const { return spend_; }

    /// Number of times each request key got a slot since the start.
    [[nodiscard]] const std::map<std::string, std::int64_t>& runs() const { return runs_; }

    /// Returns the key of another running request, or a made-up key if there is none. Used by the
    /// fault `crossed_answers`.
    [[nodiscard]] std::string other_key(const std::string& key) const;

private:
    enum class run_state { queued, running, ended, cancelled };
    struct run {
        run_state state{run_state::queued};
        engine_answer answer;
        std::string metadata;
        std::string budget;
        token_count prompt_tokens{0};
        token_count generated{0};
        time_ms since{0}; ///< when the run was queued, got its slot, or ended
    };
    struct queued_request {
        int priority{0};
        std::int64_t number{0};
        std::string key;
    };

    void fill_slots(time_ms now);
    void generate(run& running, time_ms now);
    void evict_expired(time_ms now);
    void end(run& ended, run_state state, time_ms now);

    engine_speed speed_;
    time_ms started_;
    std::map<std::string, run> known_;
    std::map<std::string, time_ms> cancelled_keys_;
    std::vector<queued_request> queue_;
    std::set<std::string> running_;
    std::int64_t next_number_{0};
    time_ms next_eviction_{0};
    std::map<std::string, budget_spend> spend_;
    std::map<std::string, std::int64_t> runs_;
};

} // namespace jujubevalve
