#include "dispatch/spend_ceilings.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Write interval of each instance per instance of the fleet, so that all instances together make
/// at most 125 writes per second for ceilings.
constexpr time_ms write_spacing{8};
/// Time whose demand the headroom covers at publication. While the store responds, a request above
/// the ceiling waits only for the next publication.
constexpr time_ms base_cover{400};
/// Max time of a write for which the headroom leaves room. An instance whose writes take longer
/// cannot serve the requests that need them within their latency objectives.
constexpr time_ms max_write_time{1000};
/// Growth as a multiple of the demand, which varies around its average within seconds.
constexpr double growth_margin = 1.5;
/// Max growth as a multiple of the max headroom, over the time until the growth becomes faster.
constexpr double max_growth_factor = 4;
/// Age at which a ceiling stops growing; keeps the largest growth representable.
constexpr time_ms max_growth_age{3'600'000};
/// Time of faster growth after which the whole stock may be spent, in seconds.
constexpr std::int64_t stock_spend_time_s = 5;
} // namespace

token_count spend_ceiling::at(time_ms age) const
{
    const auto growth_age = std::clamp(age, time_ms{0}, max_growth_age);
    const auto grown = [growth_age](token_count per_s, time_ms after) {
        return per_s * std::max<std::int64_t>(0, (growth_age - after).count()) / 1000;
    };
    return base + grown(growth_per_s, time_ms{0}) + grown(late_growth_per_s, late_growth_after);
}

std::optional<time_ms> spend_ceiling::age_of(token_count total) const
{
    if (at(max_growth_age) < total) {
        return std::nullopt;
    }
    time_ms below{-1};
    time_ms reached = max_growth_age;
    while ((reached - below).count() > 1) {
        const time_ms middle{(below.count() + reached.count()) / 2};
        (at(middle) >= total ? reached : below) = middle;
    }
    return reached;
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

token_count spend_ceilings::publication::bound(std::string_view account, time_ms when) const
{
    const auto found = ceilings.find(account);
    return found == ceilings.end() ? max_token_count : found->second.at(when - sent_at);
}

token_count spend_ceilings::bound(std::string_view account, time_ms when) const
{
    auto lowest = acknowledged_.bound(account, when);
    for (const auto& write : unacknowledged_) {
        lowest = std::min(lowest, write.bound(account, when));
    }
    return lowest;
}

std::optional<time_ms> spend_ceilings::time_until_allowed(std::string_view account,
                                                          token_count total, time_ms now) const
{
    auto publications = unacknowledged_;
    publications.push_back(acknowledged_);
    time_ms latest{0};
    for (const auto& publication : publications) {
        const auto ceiling = publication.ceilings.find(account);
        if (ceiling == publication.ceilings.end()) {
            continue;
        }
        const auto age = ceiling->second.age_of(total);
        if (!age) {
            return std::nullopt;
        }
        latest = std::max(latest, publication.sent_at + *age - now);
    }
    return latest;
}

bool spend_ceilings::allow(std::string_view account, token_count total, time_ms now)
{
    const auto limit = bound(account, now);
    if (total <= limit && limit < max_token_count) {
        return true;
    }
    auto& requested_total = requested_totals_[std::string{account}];
    requested_total = std::max(requested_total, total);
    return total <= limit;
}

spend_ceiling spend_ceilings::target_ceiling(const spend_facts& facts) const
{
    const auto demand_in = [&facts](time_ms time) {
        return static_cast<token_count>(facts.demand_per_ms * static_cast<double>(time.count()));
    };
    const auto headroom =
        std::min({std::max(demand_in(base_cover + write_time_), facts.min_headroom),
                  facts.max_headroom, facts.max_early_headroom});
    const auto growth = std::max(
        static_cast<token_count>(growth_margin * static_cast<double>(demand_in(seconds(1)))),
        facts.min_headroom);
    const auto max_growth = std::min(static_cast<double>(facts.max_headroom) * max_growth_factor,
                                     static_cast<double>(facts.max_early_headroom - headroom)) /
                            static_cast<double>(spend_ceiling::late_growth_after.count()) * 1000;
    return {facts.total + headroom,
            static_cast<double>(growth) < max_growth ? growth
                                                     : static_cast<token_count>(max_growth),
            std::max<token_count>(0, facts.stock) / stock_spend_time_s};
}

std::optional<ceiling_map> spend_ceilings::plan(const std::vector<spend_facts>& facts, time_ms now)
{
    if (in_flight_) {
        return std::nullopt;
    }
    const bool any_spendable = std::any_of(
        facts.begin(), facts.end(), [](const auto& account) { return account.is_spendable; });
    bool due = !requested_totals_.empty() ||
               (any_spendable && (!ever_sent_ || now - sent_at_ >= interval_));
    auto next = acknowledged_.ceilings;
    for (const auto& account_facts : facts) {
        auto ceiling = target_ceiling(account_facts);
        const auto headroom = ceiling.base - account_facts.total;
        due = due || (account_facts.is_spendable &&
                      bound(account_facts.account, now) - account_facts.total < headroom / 2 &&
                      now - sent_at_ >= interval_ / 4);
        if (const auto requested_total = requested_totals_.find(account_facts.account);
            requested_total != requested_totals_.end()) {
            ceiling.base = std::max(ceiling.base, requested_total->second + headroom);
        }
        next[account_facts.account] = ceiling;
    }
    return due ? std::optional{std::move(next)} : std::nullopt;
}

void spend_ceilings::sent(const ceiling_map& ceilings, time_ms now)
{
    unacknowledged_.push_back({ceilings, now});
    in_flight_ = true;
    ever_sent_ = true;
    sent_at_ = now;
    requested_totals_.clear();
}

void spend_ceilings::acknowledged(time_ms write_time)
{
    in_flight_ = false;
    // Falls slowly, as congestion comes in bursts.
    write_time_ = std::min(max_write_time, std::max(write_time, write_time_ - write_time_ / 8));
    acknowledged_ = std::move(unacknowledged_.back());
    unacknowledged_.clear();
}

void spend_ceilings::failed()
{
    in_flight_ = false;
}

} // namespace jujubevalve
