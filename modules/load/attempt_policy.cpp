#include "load/attempt_policy.h"

namespace jujubevalve
{

namespace
{
attempt_step finish(caller_outcome outcome)
{
    return {attempt_step::kind::finish, outcome, {}, time_ms{0}};
}

// A request that is wrong in itself fails everywhere.
bool is_permanent(const caller_error& error)
{
    return error.http_status >= 400 && error.http_status < 500 && error.http_status != 429 &&
           error.http_status != 408;
}

// The outcome will stay unknown, however often the caller asks.
bool stays_unknown(const caller_error& error)
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
        return retry_broken();
    case attempt_result::kind::not_delivered:
        return retry_broken();
    }
    return finish(caller_outcome::outcome_unknown);
}

attempt_step attempt_policy::after_error(const caller_error& error)
{
    if (error.not_run) {
        const bool give_up = is_permanent(error) || hinted_ >= limits_.hinted_tries;
        return give_up ? finish(caller_outcome::refused_not_run) : retry(error);
    }
    maybe_delivered_ = true;
    const bool final = stays_unknown(error) || is_permanent(error) || !idempotent_;
    // The home of a key can be out of reach for one instance only.
    const bool ask_again = error.type == "peer_unreachable" || !final;
    if (!ask_again || hinted_ >= limits_.hinted_tries) {
        return finish(caller_outcome::outcome_unknown);
    }
    return retry(error);
}

attempt_step attempt_policy::retry(const caller_error& error)
{
    ++hinted_;
    const bool has_hint = error.retry_after > time_ms{0} || !error.try_addresses.empty();
    return {retry_kind(), caller_outcome::answered, error.try_addresses,
            has_hint ? error.retry_after : limits_.broken_delay};
}

attempt_step attempt_policy::retry_broken()
{
    if (++broken_ >= limits_.broken_attempts) {
        return finish(maybe_delivered_ ? caller_outcome::outcome_unknown
                                       : caller_outcome::unreachable);
    }
    return {retry_kind(), caller_outcome::answered, {}, limits_.broken_delay};
}

attempt_step::kind attempt_policy::retry_kind() const
{
    // A lost attempt may still arrive after a later attempt was refused as not run, so it binds
    // the request to its key for good.
    const bool new_key = !idempotent_ && !maybe_delivered_;
    return new_key ? attempt_step::kind::retry_new_key : attempt_step::kind::retry_same_key;
}

} // namespace jujubevalve
