#include "dispatch/entry_list.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

entry_list::entry_list(std::string own_instance, entry_list_options options)
    : own_instance_{std::move(own_instance)}
    , options_{options}
{
}

void entry_list::observe(const instance_beat& beat, time_ms now)
{
    if (beat.instance == own_instance_) {
        return;
    }
    auto& item = records_[beat.instance];
    const bool is_new = item.beat.incarnation != beat.incarnation || item.beat.number < beat.number ||
                        item.beat.serving != beat.serving;
    if (is_new) {
        item = {beat, now};
    }
}

void entry_list::remove(std::string_view instance)
{
    const auto found = records_.find(instance);
    if (found != records_.end()) {
        records_.erase(found);
    }
}

void entry_list::set_reachable(bool reachable, time_ms now)
{
    if (reachable && !reachable_) {
        reachable_since_ = now;
    }
    reachable_ = reachable;
}

bool entry_list::is_heard(const record& item, time_ms now) const
{
    return !reachable_ || now - std::max(item.heard_at, reachable_since_) < options_.silence_limit;
}

std::vector<std::string> entry_list::addresses(const std::string& own_address, bool own_serving,
                                               time_ms now) const
{
    std::vector<std::string> found;
    if (own_serving) {
        found.push_back(own_address);
    }
    for (const auto& [instance, item] : records_) {
        if (item.beat.serving && is_heard(item, now) && found.size() < options_.most) {
            found.push_back(item.beat.address);
        }
    }
    return found;
}

account_demand entry_list::demand_elsewhere(time_ms now) const
{
    account_demand sum;
    for (const auto& [instance, item] : records_) {
        if (!is_heard(item, now)) {
            continue;
        }
        for (const auto& [account, demand] : item.beat.demand) {
            sum[account] += demand;
        }
    }
    return sum;
}

std::int64_t entry_list::live_count(time_ms now) const
{
    return 1 + std::count_if(records_.begin(), records_.end(),
                             [&](const auto& item) { return is_heard(item.second, now); });
}

} // namespace jujubevalve
