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
    /// Non-idempotent only: epoch of the issued prefix or of the intent row; the current epoch if
    /// the row is still to be written.
    std::int64_t epoch{0};
    /// The caller's number of this attempt, from 1; 0 if the caller does not number attempts. A
    /// refusal of attempt n also covers all lower attempts, even those that arrive later.
    int attempt{0};
    /// Non-idempotent only: whether this incarnation is certainly the key's home. False until the
    /// intent row of a caller-generated key is written; confirm_home() follows.
    bool home_confirmed{true};
};

/// What to do with a request.
enum class begin_action {
    start,           ///< run it; the caller of begin() owns the execution
    join,            ///< wait for the execution `id`
    answered,        ///< give `answer`
    refused,         ///< answer with `why`, not run
    outcome_unknown, ///< answer with `why`, outcome unknown
};

/// Result of execution_registry::begin.
struct begin_result {
    begin_action action{begin_action::refused};
    execution_id id{0};
    std::shared_ptr<const recorded_answer> answer;
    failure why;
};

/// State of an execution. A non-idempotent one leaves `sent` only to `accepted` (certainly not
/// delivered), `answered` or `unknown`.
enum class execution_state { accepted, sent, answered, unknown, refused };

/// Bounds of an execution_registry.
struct registry_limits {
    /// Records of non-idempotent keys; a record takes less than 671 bytes, so that the default
    /// stays below the 64 MB of a node. Further keys are refused until an epoch expires.
    std::size_t max_non_idempotent{100'000};
    std::size_t max_idempotent{10'000};        ///< records of finished idempotent executions
    std::size_t max_answer_bytes{16'777'216};  ///< sum of the kept answers' bodies
    time_ms idempotent_retention{minutes(10)}; ///< how long a finished answer is kept
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

    /// The intent row names this incarnation. Fails with `key_expired` if the row's epoch has
    /// expired, because the record of an earlier run may then have been forgotten; the execution
    /// has then ended with an unknown outcome.
    [[nodiscard]] status confirm_home(execution_id id, std::int64_t epoch, time_ms now);

    /// Must be called before the first byte goes to a backend server. False: must not be sent,
    /// because an earlier order of a non-idempotent execution may have been delivered, or because
    /// the home is not confirmed.
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
    /// been delivered or if the home is not confirmed and this is not the first attempt.
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
    /// Digest of account and key.
    struct key_digest {
        std::uint64_t high{0};
        std::uint64_t low{0};

        friend auto operator<=>(const key_digest&, const key_digest&) = default;
    };
    struct key_digest_hash {
        std::size_t operator()(const key_digest& digest) const { return digest.low; }
    };
    struct record {
        execution_id id{0};
        std::optional<key_digest> key;
        std::uint64_t body{0}; ///< first digits of the body's digest
        bool idempotent{true};
        bool home_confirmed{true};
        bool billed{false};
        execution_state state{execution_state::accepted};
        int attempt{0};       ///< highest attempt that began or joined
        int refused_up_to{0}; ///< attempts up to this one were refused
        std::int64_t epoch{0};
        failure why;
        std::shared_ptr<const recorded_answer> answer;
    };

    static key_digest digest_of(std::string_view account, std::string_view key);
    [[nodiscard]] begin_result start(const execution_request& request,
                                     std::optional<key_digest> key, int refused_up_to);
    [[nodiscard]] begin_result again(const record& known, const execution_request& request) const;
    [[nodiscard]] static bool may_restart(const record& known, const execution_request& request);
    [[nodiscard]] std::optional<failure> no_start(const execution_request& request) const;
    [[nodiscard]] static begin_result refusal(const execution_request& request, bool final,
                                              failure why);
    [[nodiscard]] record* find(execution_id id);
    [[nodiscard]] record* find(const key_digest& key);
    bool finish(record& done, execution_state state, time_ms now);
    void keep_answer(record& done, recorded_answer answer);
    void drop_answer(execution_id id);
    void forget(execution_id id);
    void forget_epochs(time_ms now);
    void forget_idempotent(time_ms now);

    struct finished_entry {
        execution_id id{0};
        time_ms at;
    };

    std::string incarnation_;
    key_epochs epochs_;
    registry_limits limits_;
    std::unordered_map<execution_id, record> by_id_;
    std::unordered_map<key_digest, execution_id, key_digest_hash> by_key_;
    std::map<std::int64_t, std::vector<execution_id>> by_epoch_; ///< finished, non-idempotent
    std::deque<finished_entry> idempotent_done_;
    std::deque<execution_id> answers_kept_;
    std::size_t answer_bytes_{0};
    std::size_t non_idempotent_{0};
    std::size_t active_{0};
    execution_id last_id_{0};
    bool draining_{false};
};

} // namespace jujubevalve
