#include "router/service_context.h"

#include <utility>

namespace jujubevalve
{

namespace
{
constexpr time_ms budget_retry_after{1000};
} // namespace

std::optional<refusal> check_accepting(const service_context& context)
{
    if (context.budgets.is_stopped()) {
        return refuse_with_hint(context, {result_code::stopped, "this instance was closed"});
    }
    if (context.budgets.is_fenced()) {
        return refuse(failure{result_code::term_fenced, "another operator's term is in force"});
    }
    if (!context.config.is_ready()) {
        return refuse_with_hint(context,
                                {result_code::not_ready, "no configuration is in force yet"});
    }
    return std::nullopt;
}

result<spend_ticket> reserve_tokens(const service_context& context, const std::string& budget,
                                    token_count tokens)
{
    auto ticket = context.budgets.reserve(budget, tokens, context.settings.budget_wait);
    if (ticket) {
        return ticket;
    }
    const auto code = ticket.error().code;
    if (code != result_code::budget_exhausted && code != result_code::budget_unavailable) {
        return ticket;
    }
    context.members.report_shortage(budget);
    if (context.request_transfer && context.request_transfer(budget, tokens)) {
        ++context.counts.at("transfers_helped");
        return context.budgets.reserve(budget, tokens, time_ms{0});
    }
    return ticket;
}

refusal refuse_with_hint(const service_context& context, failure error, const std::string& budget)
{
    auto result = refuse(std::move(error));
    result.retry_addresses = context.members.alternatives(budget);
    const auto code = result.error.code;
    if (code == result_code::budget_exhausted || code == result_code::budget_unavailable ||
        code == result_code::not_ready) {
        result.retry_after = budget_retry_after;
    }
    return result;
}

} // namespace jujubevalve
