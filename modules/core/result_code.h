#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace jujubevalve
{

/// Result codes of the whole system; docs/errors.md lists them. A test keeps that list complete.
enum class result_code : int {
    ok = 0,
    malformed_json = 1001,
    request_too_large = 1002,
    missing_field = 1003,
    invalid_token_count = 1004,
    unknown_route = 1005,
    unauthenticated = 1006,
    idempotency_key_required = 1007,
    idempotency_key_conflict = 1008,
    request_timeout = 1009,
    invalid_key_prefix = 1010,
    unknown_path = 1011,
    method_not_allowed = 1012,
    token_limit_exceeded = 1013,
    invalid_field = 1014,
    budget_exhausted = 2001,
    budget_unavailable = 2002,
    overloaded = 2003,
    retry_budget_exhausted = 2004,
    no_backend_server = 3001,
    backend_refused = 3002,
    backend_lost = 3003,
    backend_timeout = 3004,
    key_home_gone = 3005,
    draining = 3006,
    key_expired = 3007,
    not_ready = 3008,
    wrong_answer = 3009,
    stopped = 3010,
    prompt_quarantined = 3011,
    invalid_table = 4001,
    stale_version = 4002,
    unknown_name = 4003,
    limit_below_allocated = 4004,
    duplicate_name = 4005,
    platform_unavailable = 5001,
    platform_conflict = 5002,
    platform_outcome_unknown = 5003,
    term_fenced = 5004,
    malformed_row = 5005,
    ledger_mismatch = 5006,
    peer_unauthenticated = 6001,
    peer_unreachable = 6002,
    peer_term_mismatch = 6003,
    invalid_setting = 7001,
};

/// Whether a request was run, as far as its caller can conclude from the result.
enum class run_outcome { answered, not_run, unknown };

/// Name, HTTP status and default outcome of a result code.
struct result_info {
    result_code code;
    std::string_view name;
    int http_status;
    run_outcome outcome;
};

/// Returns the entry of a result code. Every enumerator has one; any other number gets `unlisted`.
const result_info& describe(result_code code);

/// Returns all entries in numerical order of their codes.
std::span<const result_info> all_results();

/// Returns the wire name of an outcome: `answered`, `not_run` or `unknown`.
std::string_view to_string(run_outcome outcome);

/// Returns the error category of `result_code`.
const std::error_category& result_category();

/// Lets `result_code` convert to `std::error_code`.
std::error_code make_error_code(result_code code);

} // namespace jujubevalve

template <>
struct std::is_error_code_enum<jujubevalve::result_code> : std::true_type {
};
