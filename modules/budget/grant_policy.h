#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <string_view>

namespace jujubevalve
{

/// Input of a grant policy for one budget; counts are in tokens.
struct grant_policy_input {
    std::string_view budget;        ///< name of the budget
    double demand_per_ms{0};        ///< moving average of settled usage, tokens per millisecond
    token_count limit{0};           ///< limit of the budget
    token_count grantable{0};       ///< limit minus the safety margin
    token_count free{0};            ///< grantable minus allocated
    token_count granted{0};         ///< granted to this incarnation, including spent tokens
    token_count available{0};       ///< tokens of the grant that are not spent, reserved or sent
    token_count reserved{0};        ///< reserved by requests in flight
    token_count request{1};         ///< largest recent reservation request
    token_count typical_request{1}; ///< moving average of the reservation requests
    token_count shortage{0};        ///< needed by waiting requests or refused since the last refill
    std::int64_t live_instances{1}; ///< instances that may use the budget
    bool settled_since_grant{false}; ///< a request was settled since the last grant change
    bool first_grant{true};          ///< nothing has been granted to this incarnation yet
};

/// Returns how many tokens to add to a grant (positive) or to return to the ledger (negative), or
/// 0. The planner limits an increase to the free tokens and a return to the available tokens.
template <class T>
concept grant_policy = requires(const T& policy, const grant_policy_input& facts)
{
    {
        policy.wanted(facts)
        } -> std::same_as<token_count>;
};

} // namespace jujubevalve
