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
        not_delivered, ///< no byte was sent, so the request cannot have run
        lost,          ///< the connection broke, or the answer was incomplete
    };
    kind what{kind::lost};
    caller_error error;
};

/// The final outcome of a request, as its caller sees it.
enum class caller_outcome { answered, refused_not_run, outcome_unknown, unreachable };

/// The next step of a caller.
struct attempt_step {
    enum class kind {
        finish,
        retry_same_key, ///< the request may have run: only the same key is safe
        retry_new_key,  ///< the request has not run: use a key of another instance
    };
    kind what{kind::finish};
    caller_outcome outcome{caller_outcome::answered}; ///< for finish
    std::vector<std::string> addresses; ///< preferred addresses, from the error response
    time_ms delay{0};

    friend bool operator==(const attempt_step&, const attempt_step&) = default;
};

/// Limits of an attempt_policy.
struct attempt_limits {
    int max_error_retries{3};      ///< retries after error responses
    int max_transport_failures{8}; ///< attempts lost or not delivered
    time_ms retry_delay{50};       ///< after a transport failure, or an error without a hint
};

/// Decides after each attempt whether and how a caller tries again. One object serves one request.
class attempt_policy
{
public:
    /// The fleet may run an idempotent request more than once, any other at most once.
    attempt_policy(attempt_limits limits, bool idempotent);

    /// Returns the next step after an attempt.
    attempt_step after(const attempt_result& ended);

private:
    attempt_step after_error(const caller_error& error);
    attempt_step retry(const caller_error& error);
    attempt_step retry_transport_failure();
    [[nodiscard]] attempt_step::kind retry_kind() const;

    attempt_limits limits_;
    bool idempotent_;
    bool maybe_delivered_{false};
    int error_retries_{0};
    int transport_failures_{0};
};

} // namespace jujubevalve
