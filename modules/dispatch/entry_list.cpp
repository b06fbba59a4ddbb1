#include "dispatch/entry_list.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Capacity that is kept over the demand, for bursts and for the loss of instances.
constexpr double reserve = 1.6;
/// Machines that are smaller by up to this factor are named as well.
constexpr std::int64_t similar_capacity = 2;
} // namespace

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
    const bool is_new = item.beat.incarnation != beat.incarnation ||
                        item.beat.number < beat.number || item.beat.serving != beat.serving;
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

std::size_t entry_list::enough(const std::vector<const instance_beat*>& largest_first) const
{
    double demand = 0;
    for (const auto* beat : largest_first) {
        demand += static_cast<double>(beat->request_rate);
    }
    std::size_t best = largest_first.size();
    double carried = -1;
    for (std::size_t count = 1; count <= largest_first.size(); ++count) {
        const auto smallest = static_cast<double>(largest_first[count - 1]->capacity);
        const auto total = smallest * static_cast<double>(count);
        if (count >= options_.least && total >= reserve * demand) {
            return count;
        }
        if (total > carried) {
            carried = total;
            best = count;
        }
    }
    return best;
}

std::vector<std::string> entry_list::addresses(const instance_beat& own, time_ms now) const
{
    std::vector<const instance_beat*> serving;
    if (own.serving) {
        serving.push_back(&own);
    }
    for (const auto& [instance, item] : records_) {
        if (item.beat.serving && is_heard(item, now)) {
            serving.push_back(&item.beat);
        }
    }
    std::stable_sort(serving.begin(), serving.end(),
                     [](const auto* a, const auto* b) { return a->capacity > b->capacity; });
    auto count = enough(serving);
    const auto least = count == 0 ? 0 : serving[count - 1]->capacity / similar_capacity;
    while (count < serving.size() && serving[count]->capacity >= least) {
        ++count;
    }
    std::vector<std::string> found;
    for (std::size_t i = 0; i < std::min(count, options_.most); ++i) {
        found.push_back(serving[i]->address);
    }
    return found;
}

std::vector<std::string> entry_list::relays(time_ms now) const
{
    std::vector<std::string> found;
    for (const auto& [instance, item] : records_) {
        if (!item.beat.relay.empty() && is_heard(item, now)) {
            found.push_back(item.beat.relay);
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
