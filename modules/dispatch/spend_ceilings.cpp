#include "dispatch/spend_ceilings.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Room below a ceiling over what is wanted, in multiples of it, at which it is lowered.
constexpr std::int64_t lower_at = 2;
/// Time of the fleet for each instance's write: at most 125 a second are spent on ceilings.
constexpr time_ms write_spacing{8};
/// Demand in a few seconds varies around its average; requests differ in size by a factor of ten.
constexpr double demand_margin = 1.6;
} // namespace

spend_ceilings::spend_ceilings(spend_ceilings_options options)
    : options_{options}
    , interval_{options.interval}
{
}

void spend_ceilings::set_instances(std::int64_t instances)
{
    interval_ = std::max(options_.interval, write_spacing * instances);
}

bool spend_ceilings::is_offline(time_ms now) const
{
    return ever_sent_ && now - sent_at_ > options_.offline_after;
}

token_count spend_ceilings::published(std::string_view account) const
{
    const auto found = published_.find(account);
    return found == published_.end() ? 0 : found->second;
}

bool spend_ceilings::allow(std::string_view account, token_count total, time_ms now)
{
    const auto found = published_.find(account);
    if ((found != published_.end() && total <= found->second) || is_offline(now)) {
        return true;
    }
    auto& asked = asked_[std::string{account}];
    asked = std::max(asked, total);
    return false;
}

token_count spend_ceilings::wanted(const spend_facts& facts) const
{
    const auto cover = options_.offline_after + interval_;
    const auto demand = static_cast<token_count>(demand_margin * facts.demand_per_ms *
                                                 static_cast<double>(cover.count()));
    return facts.total + std::min(std::max(demand, facts.spare), facts.most_room);
}

std::optional<ceiling_map> spend_ceilings::plan(const std::vector<spend_facts>& facts, time_ms now)
{
    if (in_flight_) {
        return std::nullopt;
    }
    bool due = !ever_sent_ || now - sent_at_ >= interval_ || !asked_.empty();
    auto next = published_;
    for (const auto& item : facts) {
        auto& ceiling = next[item.account];
        const auto goal = wanted(item);
        const auto room = goal - item.total;
        due = due || (ceiling - item.total < room / 2 && now - sent_at_ >= interval_ / 4);
        if (ceiling < goal || ceiling - item.total > lower_at * room) {
            ceiling = goal;
        }
        if (const auto asked = asked_.find(item.account); asked != asked_.end()) {
            ceiling = std::max(ceiling, asked->second + room);
        }
    }
    return due ? std::optional{std::move(next)} : std::nullopt;
}

void spend_ceilings::sent(const ceiling_map& ceilings, time_ms now)
{
    for (auto& [account, ceiling] : published_) {
        const auto next = ceilings.find(account);
        ceiling = next == ceilings.end() ? ceiling : std::min(ceiling, next->second);
    }
    in_flight_ = true;
    ever_sent_ = true;
    sent_at_ = now;
    asked_.clear();
}

void spend_ceilings::acknowledged(const ceiling_map& ceilings)
{
    in_flight_ = false;
    published_ = ceilings;
}

void spend_ceilings::failed()
{
    in_flight_ = false;
}

} // namespace jujubevalve
