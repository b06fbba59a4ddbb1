#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <string_view>

namespace jujubevalve
{

/// What a policy knows of one budget when it decides.
struct grant_facts {
    std::string_view budget;         ///< its name
    double demand_per_ms{0};         ///< moving average of settled usage, tokens per millisecond
    token_count limit{0};            ///< of the budget
    token_count grantable{0};        ///< limit less the safety margin
    token_count free{0};             ///< grantable and not allocated
    token_count granted{0};          ///< to this incarnation, spent tokens included
    token_count available{0};        ///< of the grant, neither spent nor reserved nor sent
    token_count reserved{0};         ///< by requests in flight
    token_count request{1};          ///< largest reservation asked for lately
    token_count typical_request{1};  ///< moving average of reservations asked for
    token_count shortage{0};         ///< tokens refused since the last refill
    std::int64_t live_instances{1};  ///< that may draw on the budget
    bool settled_since_grant{false}; ///< a request has ended since the last change of the grant
    bool first_grant{true};          ///< nothing has been granted to this incarnation yet
};

/// Decides how many tokens to add to a grant (positive), to return (negative) or neither (0). The
/// planner bounds an increase by the free part and a return by the available part.
template <class T>
concept grant_policy = requires(const T& policy, const grant_facts& facts)
{
    {
        policy.wanted(facts)
        } -> std::same_as<token_count>;
};

} // namespace jujubevalve
