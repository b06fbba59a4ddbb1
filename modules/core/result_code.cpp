#include "core/result_code.h"

#include <algorithm>
#include <array>
#include <string>

namespace jujubevalve
{

namespace
{
using enum run_outcome;
constexpr auto table = std::to_array<result_info>({
    {result_code::ok, "ok", 200, answered},
    {result_code::malformed_json, "malformed_json", 400, not_run},
    {result_code::request_too_large, "request_too_large", 413, not_run},
    {result_code::missing_field, "missing_field", 400, not_run},
    {result_code::invalid_token_count, "invalid_token_count", 400, not_run},
    {result_code::unknown_route, "unknown_route", 404, not_run},
    {result_code::unauthenticated, "unauthenticated", 401, not_run},
    {result_code::idempotency_key_required, "idempotency_key_required", 400, not_run},
    {result_code::idempotency_key_conflict, "idempotency_key_conflict", 409, not_run},
    {result_code::request_timeout, "request_timeout", 408, not_run},
    {result_code::invalid_key_prefix, "invalid_key_prefix", 400, not_run},
    {result_code::unknown_path, "unknown_path", 404, not_run},
    {result_code::method_not_allowed, "method_not_allowed", 405, not_run},
    {result_code::token_limit_exceeded, "token_limit_exceeded", 400, not_run},
    {result_code::invalid_field, "invalid_field", 400, not_run},
    {result_code::budget_exhausted, "budget_exhausted", 429, not_run},
    {result_code::budget_unavailable, "budget_unavailable", 503, not_run},
    {result_code::overloaded, "overloaded", 429, not_run},
    {result_code::retry_budget_exhausted, "retry_budget_exhausted", 503, unknown},
    {result_code::no_backend_server, "no_backend_server", 503, not_run},
    {result_code::backend_refused, "backend_refused", 502, not_run},
    {result_code::backend_lost, "backend_lost", 502, unknown},
    {result_code::backend_timeout, "backend_timeout", 504, unknown},
    {result_code::key_home_gone, "key_home_gone", 503, unknown},
    {result_code::draining, "draining", 503, not_run},
    {result_code::key_expired, "key_expired", 409, unknown},
    {result_code::not_ready, "not_ready", 503, not_run},
    {result_code::wrong_answer, "wrong_answer", 502, unknown},
    {result_code::stopped, "stopped", 503, not_run},
    {result_code::prompt_quarantined, "prompt_quarantined", 503, not_run},
    {result_code::invalid_table, "invalid_table", 400, not_run},
    {result_code::stale_version, "stale_version", 409, not_run},
    {result_code::unknown_name, "unknown_name", 404, not_run},
    {result_code::limit_below_allocated, "limit_below_allocated", 409, not_run},
    {result_code::duplicate_name, "duplicate_name", 400, not_run},
    {result_code::platform_unavailable, "platform_unavailable", 503, not_run},
    {result_code::platform_conflict, "platform_conflict", 409, not_run},
    {result_code::platform_outcome_unknown, "platform_outcome_unknown", 503, unknown},
    {result_code::term_fenced, "term_fenced", 409, not_run},
    {result_code::malformed_row, "malformed_row", 500, not_run},
    {result_code::ledger_mismatch, "ledger_mismatch", 500, not_run},
    {result_code::peer_unauthenticated, "peer_unauthenticated", 401, not_run},
    {result_code::peer_unreachable, "peer_unreachable", 503, unknown},
    {result_code::peer_term_mismatch, "peer_term_mismatch", 409, not_run},
    {result_code::invalid_setting, "invalid_setting", 400, not_run},
});

class category final : public std::error_category
{
public:
    [[nodiscard]] const char* name() const noexcept override { return "jujubevalve"; }
    [[nodiscard]] std::string message(int value) const override
    {
        return std::string{describe(static_cast<result_code>(value)).name};
    }
};
} // namespace

const result_info& describe(result_code code)
{
    const auto* const found = std::find_if(table.begin(), table.end(),
                                           [code](const auto& info) { return info.code == code; });
    static constexpr result_info unlisted{result_code::ok, "unlisted", 500, run_outcome::unknown};
    return found == table.end() ? unlisted : *found;
}

std::span<const result_info> all_results()
{
    return table;
}

std::string_view to_string(run_outcome outcome)
{
    switch (outcome) {
    case answered:
        return "answered";
    case not_run:
        return "not_run";
    case unknown:
        break;
    }
    return "unknown";
}

const std::error_category& result_category()
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(result_code code)
{
    return {static_cast<int>(code), result_category()};
}

} // namespace jujubevalve
