#pragma once

#include "core/tokens.h"

#include <cstdint>
#include <string>

namespace jujubevalve::experiment
{

/// What the arbiter found in one run. The first group are the promise counters.
struct run_report {
    std::string scenario;
    std::string deployment;
    std::string policy;
    std::uint64_t seed{0};

    token_count overspend_tokens{0}; ///< largest excess of true spend over a limit, all budgets
    std::int64_t billed_twice{0};    ///< requests with more than one bill entry
    std::int64_t ran_twice{0};       ///< non-idempotent requests that ran more than once
    std::int64_t untrue_not_run{0};  ///< requests told `not_run` that ran
    std::int64_t wrong_or_partial_answers{0};
    std::int64_t cut_by_drain{0}; ///< requests in flight at a drain that got no answer

    std::int64_t requests{0};
    std::int64_t answered{0};
    std::int64_t refused_not_run{0};
    std::int64_t outcome_unknown{0};
    std::int64_t unreachable{0};
    std::int64_t false_refusals{0};
    std::int64_t false_refusals_low{
        0}; ///< part of it while less than a fifth of the budget is left
    std::int64_t false_refusals_margin{0}; ///< part of it that only the safety margin could serve
    std::int64_t refused_attempts{0};
    token_count stranded_tokens{0}; ///< held by the grants of dead incarnations at their death
    double stranded_share{0};       ///< largest part of one budget that one death stranded
    token_count stranded_after_recovery{0};
    token_count closed_below_spend{0}; ///< grants closed below the true spend under them
    std::int64_t grant_writes{0};      ///< transactions that change grants
    std::int64_t platform_writes{0};
    std::int64_t platform_reads{0};

    std::int64_t answered_unbilled{0};   ///< answered requests without a bill entry at the end
    std::int64_t billed_not_run{0};      ///< bill entries of requests that never ran
    std::int64_t late_server_work{0};    ///< requests sent to a server 3 s after it began to leave
    std::int64_t config_max_delay_ms{0}; ///< longest time until a reachable router had a version
    std::int64_t config_reverts{0};      ///< times that a router's version went down
    std::int64_t transfers{0};
    std::int64_t recoveries{0};
    std::int64_t chats_resumed{0};

    /// Whether every promise was kept.
    [[nodiscard]] bool promises_kept() const;

    /// One JSON object, with the fields in name order.
    [[nodiscard]] std::string to_json() const;

    friend bool operator==(const run_report&, const run_report&) = default;
};

} // namespace jujubevalve::experiment
