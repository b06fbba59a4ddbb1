#include "load/attempt_policy.h"

namespace jujubevalve
{

namespace
{
attempt_step finish(caller_outcome outcome)
{
    return {attempt_step::kind::finish, outcome, {}, time_ms{0}};
}

// An invalid request fails on every instance. 408 and 429 can succeed later.
bool is_permanent(const caller_error& error)
{
    return error.http_status >= 400 && error.http_status < 500 && error.http_status != 429 &&
           error.http_status != 408;
}

// No retry with this key can determine the outcome.
bool is_unresolvable(const caller_error& error)
{
    return error.type == "key_home_gone" || error.type == "key_expired" ||
           error.type == "idempotency_key_conflict";
}
} // namespace

attempt_policy::attempt_policy(attempt_limits limits, bool idempotent)
    : limits_{limits}
    , idempotent_{idempotent}
{
}

attempt_step attempt_policy::after(const attempt_result& ended)
{
    switch (ended.what) {
    case attempt_result::kind::answered:
        return finish(caller_outcome::answered);
    case attempt_result::kind::error:
        return after_error(ended.error);
    case attempt_result::kind::lost:
        maybe_delivered_ = true;
        return retry_transport_failure();
    case attempt_result::kind::not_delivered:
        return retry_transport_failure();
    }
    return finish(caller_outcome::outcome_unknown);
}

attempt_step attempt_policy::after_error(const caller_error& error)
{
    if (error.not_run) {
        const bool give_up = is_permanent(error) || error_retries_ >= limits_.max_error_retries;
        return give_up ? finish(caller_outcome::refused_not_run) : retry(error);
    }
    maybe_delivered_ = true;
    const bool final = is_unresolvable(error) || is_permanent(error) || !idempotent_;
    // Another instance may still reach the instance that issued the key.
    const bool retryable = error.type == "peer_unreachable" || !final;
    if (!retryable || error_retries_ >= limits_.max_error_retries) {
        return finish(caller_outcome::outcome_unknown);
    }
    return retry(error);
}

attempt_step attempt_policy::retry(const caller_error& error)
{
    ++error_retries_;
    const bool has_hint = error.retry_after > time_ms{0} || !error.try_addresses.empty();
    return {retry_kind(), caller_outcome::answered, error.try_addresses,
            has_hint ? error.retry_after : limits_.retry_delay};
}

attempt_step attempt_policy::retry_transport_failure()
{
    if (++transport_failures_ >= limits_.max_transport_failures) {
        return finish(maybe_delivered_ ? caller_outcome::outcome_unknown
                                       : caller_outcome::unreachable);
    }
    return {retry_kind(), caller_outcome::answered, {}, limits_.retry_delay};
}

attempt_step::kind attempt_policy::retry_kind() const
{
    // A lost attempt may still arrive after a later one was refused as not run. A new key could
    // then run the request twice, so it keeps its key from the first such attempt on.
    const bool new_key = !idempotent_ && !maybe_delivered_;
    return new_key ? attempt_step::kind::retry_new_key : attempt_step::kind::retry_same_key;
}

} // namespace jujubevalve
