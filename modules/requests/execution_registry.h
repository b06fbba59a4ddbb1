#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "core/tokens.h"
#include "requests/final_records.h"
#include "requests/key_epochs.h"

#include <compare>
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

/// Identifies an execution within this incarnation. Numbered from 1.
using execution_id = std::uint64_t;

/// A stored answer, returned to every caller that presents the same key.
struct recorded_answer {
    int http_status{200};
    std::string content_type;
    std::string body;
    token_count tokens{0};

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

/// The fields of a request that the registry needs.
struct execution_request {
    std::string account;
    std::string key; ///< empty (idempotent requests only): never joined, answer not stored
    std::string body_digest;
    bool idempotent{true};
    /// Non-idempotent only: the epoch of the issued prefix or of the intent row, or the current
    /// epoch if the intent row has not been written yet.
    std::int64_t epoch{0};
    /// The caller's number of this attempt, from 1; 0 if the caller does not number attempts.
    /// Refusing attempt n also refuses all lower attempts, even those that arrive later.
    int attempt{0};
    /// Non-idempotent only: whether this incarnation is known to be the key's home, the only
    /// incarnation that may run it. False for a caller-generated key until its intent row has been
    /// written; confirm_home() reports that.
    bool home_confirmed{true};
};

/// What the caller of execution_registry::begin does with the request.
enum class begin_action {
    start,           ///< run it; the caller of begin() owns the execution
    join,            ///< wait for the running execution `id`
    answered,        ///< return the stored `answer`
    refused,         ///< fail with `error`; the request has not run
    outcome_unknown, ///< fail with `error`; the request may have run
};

/// Result of execution_registry::begin.
struct begin_result {
    begin_action action{begin_action::refused};
    execution_id id{0};
    std::shared_ptr<const recorded_answer> answer;
    failure error;
};

/// State of an execution. A non-idempotent execution leaves `sent` only for `accepted` (the backend
/// server certainly did not receive the request), `answered` or `unknown`.
enum class execution_state { accepted, sent, answered, unknown, refused };

/// Memory limits and retention of an execution_registry.
struct registry_limits {
    /// Max records of non-idempotent keys. A record takes less than 671 bytes, so 100,000 of them
    /// fit into the 64 MB that a node has for control work. When the limit is reached, new keys
    /// are refused until an epoch expires.
    std::size_t max_non_idempotent{100'000};
    std::size_t max_idempotent{10'000};        ///< max records of finished idempotent executions
    std::size_t max_answer_bytes{16'777'216};  ///< max total size of the stored answers' bodies
    time_ms idempotent_retention{minutes(10)}; ///< how long an idempotent answer is kept
};

/// Tracks the executions of this incarnation by client account and key, so that a non-idempotent
/// key runs at most once and repeated requests share one result. Not thread-safe: the caller locks.
/// All operations take constant time on average; expire() takes amortised constant time.
class execution_registry
{
public:
    execution_registry(std::string incarnation, key_epochs epochs, registry_limits limits = {});

    /// Registers a request and decides what to do with it. Refuses a key that was used with
    /// another body (`idempotency_key_conflict`). A key of an expired epoch has an unknown outcome
    /// (`key_expired`).
    [[nodiscard]] begin_result begin(const execution_request& request, time_ms now);

    /// Records that the intent row names this incarnation as the key's home. Fails with
    /// `key_expired` if the row's epoch has expired, because the record of an earlier run may have
    /// been removed; the execution then ends with an unknown outcome.
    [[nodiscard]] status confirm_home(execution_id id, std::int64_t epoch, time_ms now);

    /// Marks the execution as sent. Call it before sending the first byte to a backend server, and
    /// don't send if it returns false: the execution has ended or was removed, its home is not
    /// confirmed, or it is non-idempotent and an earlier backend request may have been delivered.
    [[nodiscard]] bool mark_sent(execution_id id);

    /// Records that the backend server that the request was sent to last certainly did not run it.
    /// The execution may then be sent to another server. It remains `sent` if an earlier backend
    /// request may have been delivered.
    void mark_not_delivered(execution_id id);

    /// Records the answer. A late answer replaces the state `unknown`. Returns true when the
    /// execution gets its first outcome; the caller bills it exactly then.
    bool mark_answered(execution_id id, recorded_answer answer, time_ms now);

    /// Records that the request may have run but its answer is lost. Returns true when the
    /// execution gets its first outcome; the caller bills it exactly then.
    bool mark_unknown(execution_id id, failure error, time_ms now);

    /// Ends an execution without sending it. Returns `not_run`, or `unknown` if an earlier backend
    /// request may have been delivered, or if the home is not confirmed and this is not the first
    /// attempt.
    [[nodiscard]] run_outcome refuse(execution_id id, failure error, time_ms now);

    /// Removes an accepted execution whose key belongs to another incarnation.
    void withdraw(execution_id id);

    /// Removes the records of expired epochs, and the records of finished idempotent executions
    /// that are too old or exceed `max_idempotent`. Call it about once a second.
    void expire(time_ms now);

    /// Returns the state of an execution, or nullopt if its record has been removed.
    [[nodiscard]] std::optional<execution_state> state_of(execution_id id) const;

    /// Returns the number of accepted or sent executions. A drain ends when it reaches 0.
    [[nodiscard]] std::size_t active() const { return active_; }
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }

    /// Makes begin() refuse new executions (`draining`). Requests can still join running
    /// executions and get recorded answers.
    void drain() { draining_ = true; }

    /// Returns the records for the incarnation's final segment, or nullopt unless drain() was
    /// called and no execution is active.
    [[nodiscard]] std::optional<final_records> final(time_ms now) const;

private:
    /// First 128 bits of the SHA-256 of account and key.
    struct key_digest {
        std::uint64_t high{0};
        std::uint64_t low{0};

        friend auto operator<=>(const key_digest&, const key_digest&) = default;
    };
    struct key_digest_hash {
        std::size_t operator()(const key_digest& digest) const { return digest.low; }
    };
    struct execution_record {
        execution_id id{0};
        std::optional<key_digest> key;
        std::uint64_t body_digest_prefix{0}; ///< first 64 bits of the body's digest
        bool idempotent{true};
        bool home_confirmed{true};
        bool earlier_may_have_run{false}; ///< sent again without a proof that it had not run
        bool billed{false};               ///< an outcome was reported to the caller for billing
        execution_state state{execution_state::accepted};
        int attempt{0};       ///< highest attempt number that started or joined
        int refused_up_to{0}; ///< attempts up to this number are refused
        std::int64_t epoch{0};
        failure error; ///< reason of the state `unknown` or `refused`
        std::shared_ptr<const recorded_answer> answer;
    };

    static key_digest digest_of(std::string_view account, std::string_view key);
    [[nodiscard]] begin_result start(const execution_request& request,
                                     std::optional<key_digest> key, int refused_up_to);
    [[nodiscard]] begin_result result_for_repeat(const execution_record& known,
                                                 const execution_request& request) const;
    [[nodiscard]] static bool may_restart(const execution_record& known,
                                          const execution_request& request);
    [[nodiscard]] std::optional<failure> start_error(const execution_request& request) const;
    [[nodiscard]] static begin_result make_refusal(const execution_request& request, bool final,
                                                   failure error);
    [[nodiscard]] execution_record* find(execution_id id);
    [[nodiscard]] execution_record* find(const key_digest& key);
    bool finish(execution_record& done, execution_state state, time_ms now);
    void store_answer(execution_record& done, recorded_answer answer);
    void drop_answer(execution_id id);
    void remove_execution(execution_id id);
    void remove_expired_epochs(time_ms now);
    void remove_old_idempotent(time_ms now);

    struct finished_execution {
        execution_id id{0};
        time_ms finished_at;
    };

    std::string incarnation_;
    key_epochs epochs_;
    registry_limits limits_;
    std::unordered_map<execution_id, execution_record> by_id_;
    std::unordered_map<key_digest, execution_id, key_digest_hash> by_key_;
    std::map<std::int64_t, std::vector<execution_id>> by_epoch_; ///< finished non-idempotent ones
    std::deque<finished_execution> finished_idempotent_;         ///< oldest first
    std::deque<execution_id> stored_answers_; ///< oldest first; may hold ids of dropped answers
    std::size_t answer_bytes_{0};
    std::size_t non_idempotent_count_{0};
    std::size_t active_{0};
    execution_id last_id_{0};
    bool draining_{false};
};

} // namespace jujubevalve
