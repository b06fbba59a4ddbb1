#pragma once

#include "core/tokens.h"

#include <cstdint>
#include <string>

namespace jujubevalve::experiment
{

/// Results of one run. The first group after the identification are the counters that
/// `promises_kept` checks.
struct run_report {
    std::string scenario;
    std::string deployment;
    std::string policy;
    std::uint64_t seed{0};

    token_count overspend_tokens{0}; ///< sum over budgets of the max actual spend above the limit
    std::int64_t billed_twice{0};    ///< requests with more than one bill entry
    std::int64_t ran_twice{0};       ///< non-idempotent requests that ran more than once
    std::int64_t untrue_not_run{0};  ///< requests reported as `not_run` that had run
    std::int64_t wrong_or_partial_answers{0};
    std::int64_t cut_by_drain{0}; ///< requests in flight at a drain that got no answer

    std::int64_t requests{0};
    std::int64_t answered{0};
    std::int64_t refused_not_run{0};
    std::int64_t outcome_unknown{0};
    std::int64_t unreachable{0};
    std::int64_t false_refusals{0};
    std::int64_t false_refusals_low{0};    ///< of these, with less than a fifth of the budget left
    std::int64_t false_refusals_margin{0}; ///< of these, only the safety margin could serve
    std::int64_t refused_attempts{0};
    token_count stranded_tokens{0}; ///< held by grants of killed incarnations when killed
    double stranded_share{0};       ///< max fraction of a budget stranded by one killed router
    token_count stranded_after_recovery{0}; ///< still held for killed incarnations at the end
    token_count closed_below_spend{0};      ///< actual spend in excess of closed grants
    std::int64_t grant_writes{0};           ///< transactions that change grants
    std::int64_t platform_writes{0};
    std::int64_t platform_reads{0};

    std::int64_t answered_unbilled{0};   ///< answered requests without a bill entry at the end
    std::int64_t billed_not_run{0};      ///< bill entries of requests that never ran
    std::int64_t late_server_work{0};    ///< requests sent to a server leaving for over 3 s
    std::int64_t config_max_delay_ms{0}; ///< max delay until a reachable router adopted a version
    std::int64_t config_reverts{0};      ///< times a router went back to a lower version
    std::int64_t transfers{0};
    std::int64_t recoveries{0};
    std::int64_t chats_resumed{0};

    /// Returns whether the counters of all promises are 0.
    [[nodiscard]] bool promises_kept() const;

    /// Returns one JSON object with its fields in name order.
    [[nodiscard]] std::string to_json() const;

    friend bool operator==(const run_report&, const run_report&) = default;
};

} // namespace jujubevalve::experiment
