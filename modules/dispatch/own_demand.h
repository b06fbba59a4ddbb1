#pragma once

#include "budget/demand_rate.h"
#include "core/time_ms.h"
#include "core/tokens.h"
#include "dispatch/grant_stock_policy.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Measures the demand of this instance's own callers and finds the accounts for which it should
/// hold grants itself, although another instance is their home: those of which much of the demand
/// comes from here. Asking the home for each of these requests would add its delay to them, and
/// much to them if they fill this machine's link.
class own_demand
{
public:
    void add(std::string_view account, token_count tokens, time_ms now);

    /// Returns the accounts to hold locally. `elsewhere`: demand that the other instances publish,
    /// in tokens per second; that of a home includes what it reserves for this instance.
    [[nodiscard]] std::set<std::string, std::less<>> local_accounts(const account_demand& elsewhere,
                                                                    time_ms now) const;

private:
    struct account_state {
        demand_rate tokens;
        demand_rate requests;
    };

    std::map<std::string, account_state, std::less<>> accounts_;
};

} // namespace jujubevalve
