#pragma once

#include "core/time_ms.h"
#include "load/caller_error.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// How one attempt of a caller ended.
struct attempt_result {
    enum class kind {
        answered,
        error,         ///< an error response, see `error`
        not_delivered, ///< certain: no byte was sent
        lost,          ///< the connection broke, or the answer was incomplete
    };
    kind what{kind::lost};
    caller_error error;
};

/// What a request came to, as its caller sees it.
enum class caller_outcome { answered, refused_not_run, outcome_unknown, unreachable };

/// The next step of a caller.
struct attempt_step {
    enum class kind {
        finish,
        retry_same_key, ///< the request may have run: only the same key is safe
        retry_new_key,  ///< certain that nothing ran: a key of another instance
    };
    kind what{kind::finish};
    caller_outcome outcome{caller_outcome::answered}; ///< for finish
    std::vector<std::string> addresses;               ///< addresses to prefer, from a hint
    time_ms delay{0};

    friend bool operator==(const attempt_step&, const attempt_step&) = default;
};

/// Limits of an attempt_policy.
struct attempt_limits {
    int hinted_tries{3};      ///< tries that follow the hint of a refusal
    int broken_attempts{8};   ///< attempts that were lost or not delivered
    time_ms broken_delay{50}; ///< before an attempt after a broken one
};

/// Decides after each attempt whether and how a caller tries again. One object serves one request.
class attempt_policy
{
public:
    /// An idempotent request may be run again by the fleet, another one never.
    attempt_policy(attempt_limits limits, bool idempotent);

    /// The step after an attempt.
    attempt_step after(const attempt_result& ended);

private:
    attempt_step after_error(const caller_error& error);
    attempt_step retry(const caller_error& error);
    attempt_step retry_broken();
    [[nodiscard]] attempt_step::kind retry_kind() const;

    attempt_limits limits_;
    bool idempotent_;
    bool maybe_delivered_{false};
    int hinted_{0};
    int broken_{0};
};

} // namespace jujubevalve
