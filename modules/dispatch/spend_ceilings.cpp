#include "dispatch/spend_ceilings.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Time of the fleet for each instance's write: at most 125 a second are spent on ceilings.
constexpr time_ms write_spacing{8};
/// Demand for which there is room at the time of publication: bursts within a second.
constexpr time_ms covered{1000};
/// Growth in multiples of the demand, which varies around its average within seconds.
constexpr double growth_margin = 2;
/// Growth in multiples of the most room, over the time until it becomes faster.
constexpr std::int64_t growth_in_rooms = 4;
/// Time of faster growth after which the whole stock may be spent.
constexpr std::int64_t late_growth_s = 5;
} // namespace

token_count spend_ceiling::at(time_ms age) const
{
    const auto grown = [age](token_count per_s, time_ms after) {
        return per_s * std::max<std::int64_t>(0, (age - after).count()) / 1000;
    };
    return base + grown(growth_per_s, time_ms{0}) + grown(late_growth_per_s, rises_faster_after);
}

spend_ceilings::spend_ceilings(spend_ceilings_options options)
    : options_{options}
    , interval_{options.interval}
{
}

void spend_ceilings::set_instances(std::int64_t instances)
{
    interval_ = std::max(options_.interval, write_spacing * instances);
}

token_count spend_ceilings::publication::bound(std::string_view account, time_ms then) const
{
    const auto found = ceilings.find(account);
    return found == ceilings.end() ? max_token_count : found->second.at(then - at);
}

token_count spend_ceilings::bound(std::string_view account, time_ms then) const
{
    auto least = acknowledged_.bound(account, then);
    for (const auto& item : open_) {
        least = std::min(least, item.bound(account, then));
    }
    return least;
}

bool spend_ceilings::allow(std::string_view account, token_count total, time_ms now)
{
    const auto most = bound(account, now);
    if (total <= most && most < max_token_count) {
        return true;
    }
    auto& asked = asked_[std::string{account}];
    asked = std::max(asked, total);
    return total <= most;
}

spend_ceiling spend_ceilings::wanted(const spend_facts& facts) const
{
    const auto demand_in = [&facts](time_ms time) {
        return static_cast<token_count>(facts.demand_per_ms * static_cast<double>(time.count()));
    };
    const auto growth = std::max(
        static_cast<token_count>(growth_margin * static_cast<double>(demand_in(seconds(1)))),
        facts.spare);
    const auto most_growth =
        facts.most_room * growth_in_rooms / spend_ceiling::rises_faster_after.count() * 1000;
    return {facts.total + std::min(std::max(demand_in(covered), facts.spare), facts.most_room),
            std::min(growth, most_growth), std::max<token_count>(0, facts.stock) / late_growth_s};
}

std::optional<ceiling_map> spend_ceilings::plan(const std::vector<spend_facts>& facts, time_ms now)
{
    if (in_flight_) {
        return std::nullopt;
    }
    bool due = !ever_sent_ || now - sent_at_ >= interval_ || !asked_.empty();
    auto next = acknowledged_.ceilings;
    for (const auto& item : facts) {
        auto ceiling = wanted(item);
        const auto room = ceiling.base - item.total;
        due = due ||
              (bound(item.account, now) - item.total < room / 2 && now - sent_at_ >= interval_ / 4);
        if (const auto asked = asked_.find(item.account); asked != asked_.end()) {
            ceiling.base = std::max(ceiling.base, asked->second + room);
        }
        next[item.account] = ceiling;
    }
    return due ? std::optional{std::move(next)} : std::nullopt;
}

void spend_ceilings::sent(const ceiling_map& ceilings, time_ms now)
{
    open_.push_back({ceilings, now});
    in_flight_ = true;
    ever_sent_ = true;
    sent_at_ = now;
    asked_.clear();
}

void spend_ceilings::acknowledged()
{
    in_flight_ = false;
    acknowledged_ = std::move(open_.back());
    open_.clear();
}

void spend_ceilings::failed()
{
    in_flight_ = false;
}

} // namespace jujubevalve
