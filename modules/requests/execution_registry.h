#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "core/tokens.h"
#include "requests/final_records.h"
#include "requests/key_epochs.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubevalve
{

/// Number of an execution within this incarnation, from 1.
using execution_id = std::uint64_t;

/// An answer as it is given to every caller that presents the key.
struct recorded_answer {
    int http_status{200};
    std::string content_type;
    std::string body;
    token_count tokens{0};

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

/// A request as the registry sees it.
struct execution_request {
    std::string account;
    std::string key; ///< empty: nothing can join it; only for idempotent requests
    std::string body_digest;
    bool idempotent{true};
    std::optional<std::int64_t> epoch; ///< epoch of an issued key; empty: caller-generated
    /// The caller's number of this attempt, from 1; 0 if the caller does not number attempts. A
    /// refusal of attempt n also covers all lower attempts, even those that arrive later.
    int attempt{0};
    /// Whether a key without a record may start. False when an intent row names this incarnation
    /// but did not come from this request: a missing record may then have been forgotten.
    bool may_start{true};
};

/// What to do with a request.
enum class begin_action {
    start,           ///< run it; the caller of begin() owns the execution
    join,            ///< wait for the execution `id`
    answered,        ///< give `answer`
    refused,         ///< answer with `why`, not run
    outcome_unknown, ///< answer with `why`, outcome unknown; never runs again
};

/// Result of execution_registry::begin.
struct begin_result {
    begin_action action{begin_action::refused};
    execution_id id{0};
    bool fresh{true}; ///< start only: the registry had no record of the key before
    std::shared_ptr<const recorded_answer> answer;
    failure why;
};

/// State of an execution. A non-idempotent one leaves `sent` only to `accepted` (certainly not
/// delivered), `answered` or `unknown`.
enum class execution_state { accepted, sent, answered, unknown, refused };

/// Bounds of an execution_registry.
struct registry_limits {
    std::size_t max_non_idempotent{500'000};         ///< records of non-idempotent keys
    std::size_t max_idempotent{10'000};              ///< records of finished idempotent executions
    std::size_t max_answer_bytes{64U * 1024 * 1024}; ///< sum of the kept answers' bodies
    time_ms idempotent_retention{minutes(10)};       ///< how long a finished answer is kept
};

/// The executions of this incarnation by client account and key. Not synchronised: the caller
/// locks. All operations take constant time on average, expire() amortised.
class execution_registry
{
public:
    execution_registry(std::string incarnation, key_epochs epochs, registry_limits limits = {});

    /// Decides what to do with a request. A key with another body is refused with
    /// `idempotency_key_conflict`; a key of an expired epoch gets `key_expired`.
    [[nodiscard]] begin_result begin(const execution_request& request, time_ms now);

    /// Must be called before the first byte goes to a backend server. False: must not be sent,
    /// because an earlier order of a non-idempotent execution may have been delivered.
    [[nodiscard]] bool mark_sent(execution_id id);

    /// The order was certainly not delivered; the execution may choose another server.
    void mark_not_delivered(execution_id id);

    /// Records the answer. True the first time that the execution has an outcome: bill it then.
    /// An answer that arrives after `unknown` replaces it.
    bool mark_answered(execution_id id, recorded_answer answer, time_ms now);

    /// The order may have run and its answer is lost. True the first time that the execution has an
    /// outcome: bill it then.
    bool mark_unknown(execution_id id, failure why, time_ms now);

    /// Ends an execution without an order. Returns `not_run`, or `unknown` if an order may have
    /// been delivered; in that case the execution becomes `unknown`.
    [[nodiscard]] run_outcome refuse(execution_id id, failure why, time_ms now);

    /// Removes an accepted execution whose key turned out to belong to another incarnation.
    void withdraw(execution_id id);

    /// Forgets what may be forgotten. Call it about once a second.
    void expire(time_ms now);

    /// State of an execution; empty once it is forgotten.
    [[nodiscard]] std::optional<execution_state> state_of(execution_id id) const;

    /// Number of executions that are accepted or sent. A drain ends when it is 0.
    [[nodiscard]] std::size_t active() const { return active_; }
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }

    /// From now on begin() starts nothing (`draining`); joins and recorded answers go on.
    void drain() { draining_ = true; }

    /// Records for the final segment. Empty unless drained and without active executions.
    [[nodiscard]] std::optional<final_records> final(time_ms now) const;

private:
    struct record;
    using record_map = std::unordered_map<execution_id, record>;

    [[nodiscard]] begin_result start(const execution_request& request, std::string index_key,
                                     time_ms now);
    [[nodiscard]] begin_result again(record& known, const execution_request& request);
    [[nodiscard]] bool has_room(bool idempotent) const;
    [[nodiscard]] record* find(execution_id id);
    void finish(record& done, execution_state state, time_ms now);
    void keep_answer(record& done, recorded_answer answer);
    void drop_oldest_answer();
    void forget(execution_id id);
    void forget_epochs(time_ms now);
    void forget_idempotent(time_ms now);

    struct finished_entry {
        execution_id id;
        time_ms at;
    };

    std::string incarnation_;
    key_epochs epochs_;
    registry_limits limits_;
    record_map by_id_;
    std::unordered_map<std::string, execution_id> by_key_;
    std::map<std::int64_t, std::vector<execution_id>> by_epoch_;
    std::deque<finished_entry> idempotent_done_;
    std::deque<execution_id> answers_kept_;
    std::size_t answer_bytes_{0};
    std::size_t non_idempotent_{0};
    std::size_t active_{0};
    execution_id last_id_{0};
    bool draining_{false};
    bool forgot_intent_{false};
};

} // namespace jujubevalve
