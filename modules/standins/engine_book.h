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

/// How fast an engine stand-in runs.
struct engine_speed {
    std::int64_t slots{8};
    std::int64_t queue_limit{1000};
    std::int64_t tokens_per_second{100}; ///< of each run
    time_ms batching_delay{20};          ///< from the slot to the first token
    time_ms retention{3'600'000};        ///< how long ended runs and marked keys are kept
};

/// A chat request as the engine stand-in takes it.
struct engine_start {
    std::string key;
    std::string metadata; ///< JSON, of which only `budget` is read
    std::string prompt;
    token_count max_tokens{0};
    int priority{0};
};

/// Why a start or resume was not taken; `none` if it was.
enum class engine_denial { none, key_known, cancelled, queue_full, unknown_key };

/// What a stream may send next.
struct run_progress {
    enum class state { waiting, token, last, gone };
    state what{state::gone};
    std::string text;   ///< of a token
    std::string finish; ///< of the last event
    usage used;         ///< of the last event
};

/// Spend under one budget as the engine saw it.
struct budget_spend {
    token_count prompt_tokens{0};
    token_count completion_tokens{0};
};

/// The runs of an engine stand-in: slots, queue by priority, generation over time, records of
/// ended runs. Takes the time as an argument; not safe for use from several threads.
class engine_book
{
public:
    engine_book(const engine_speed& speed, time_ms now);

    /// Queues a run. A known or marked key is denied.
    engine_denial start(const engine_start& request, time_ms now);

    /// Whether a stream of the run may be read.
    [[nodiscard]] engine_denial find(const std::string& key) const;

    /// The event of the run with this index.
    [[nodiscard]] run_progress read(const std::string& key, token_count index) const;

    /// Ends a run, or marks an unknown key so that a later start of it is denied.
    cancel_result cancel(const std::string& key, time_ms now);

    /// Generates the tokens that are due, fills free slots and forgets old records.
    void advance(time_ms now);

    /// Runs and queued requests right now.
    [[nodiscard]] server_load load() const;

    /// Tokens consumed by budget since the start.
    [[nodiscard]] const std::map<std::string, budget_spend>& spend() const { return spend_; }

    /// How often each request key got a slot since the start.
    [[nodiscard]] const std::map<std::string, std::int64_t>& runs() const { return runs_; }

    /// A key of another run, or an invented one. For the fault `crossed_answers`.
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
        time_ms since{0}; ///< of the slot, then of the end
    };
    struct place {
        int priority{0};
        std::int64_t number{0};
        std::string key;
    };

    void fill_slots(time_ms now);
    void generate(run& running, time_ms now);
    void forget(time_ms now);
    void end(run& ended, run_state state, time_ms now);

    engine_speed speed_;
    time_ms started_;
    std::map<std::string, run> known_;
    std::map<std::string, time_ms> marked_;
    std::vector<place> queue_;
    std::set<std::string> running_;
    std::int64_t next_number_{0};
    time_ms next_forget_{0};
    std::map<std::string, budget_spend> spend_;
    std::map<std::string, std::int64_t> runs_;
};

} // namespace jujubevalve
