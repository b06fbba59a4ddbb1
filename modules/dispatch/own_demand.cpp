#include "dispatch/own_demand.h"

namespace jujubevalve
{

namespace
{
constexpr time_ms averaging_time{5000};
constexpr time_ms min_averaging_age{1000};
/// Below this rate the delay of asking a home matters less than tokens that lie idle here.
constexpr double min_requests_per_s = 4;
/// Own demand, as a fraction of the published demand of the other instances, from which on an
/// account is held here.
constexpr double min_share = 1.0 / 3;
/// Scale of the request rate, which demand_rate counts in whole units.
constexpr token_count request_unit = 1000;
} // namespace

void own_demand::add(std::string_view account, token_count tokens, time_ms now)
{
    auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        const demand_rate rate{averaging_time, min_averaging_age};
        found = accounts_.emplace(std::string{account}, account_state{rate, rate}).first;
    }
    found->second.tokens.add(tokens, now);
    found->second.requests.add(request_unit, now);
}

std::set<std::string, std::less<>> own_demand::local_accounts(const account_demand& elsewhere,
                                                              time_ms now) const
{
    std::set<std::string, std::less<>> found;
    for (const auto& [account, state] : accounts_) {
        const auto requests_per_s = state.requests.per_ms(now) * 1000 / request_unit;
        const auto tokens_per_s = state.tokens.per_ms(now) * 1000;
        const auto published = elsewhere.find(account);
        const auto others_per_s =
            published == elsewhere.end() ? 0.0 : static_cast<double>(published->second);
        if (requests_per_s >= min_requests_per_s && tokens_per_s >= min_share * others_per_s) {
            found.insert(account);
        }
    }
    return found;
}

} // namespace jujubevalve
