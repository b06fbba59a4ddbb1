#include "dispatch/instance_registry.h"

#include "core/digest.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Required capacity as a multiple of the demand, for bursts and for the loss of instances.
constexpr double reserve_factor = 1.6;
/// Stamps of heartbeats are estimates of the store's time.
constexpr time_ms max_stamp_error{1000};
/// Machines that are smaller by up to this factor are listed as well.
constexpr std::int64_t max_capacity_ratio = 2;
} // namespace

instance_registry::instance_registry(std::string own_instance, instance_registry_options options)
    : own_instance_{std::move(own_instance)}
    , options_{options}
{
}

void instance_registry::observe(const instance_heartbeat& heartbeat, time_ms now, time_ms age)
{
    if (heartbeat.instance == own_instance_) {
        return;
    }
    auto& tracked = peers_[heartbeat.instance];
    const bool is_first = tracked.heartbeat.incarnation.empty();
    if (heartbeat.sent_at != time_ms{} &&
        heartbeat.sent_at + max_stamp_error < tracked.heartbeat.sent_at) {
        return; // of a copy from which the store was restored
    }
    const bool is_new = tracked.heartbeat.incarnation != heartbeat.incarnation ||
                        tracked.heartbeat.number < heartbeat.number ||
                        tracked.heartbeat.serving != heartbeat.serving;
    if (is_new) {
        tracked = {heartbeat, is_first ? now - age : now};
    }
}

void instance_registry::remove(std::string_view instance)
{
    const auto found = peers_.find(instance);
    if (found != peers_.end()) {
        peers_.erase(found);
    }
}

void instance_registry::use_digest(std::vector<instance_heartbeat> listed,
                                   std::int64_t live_instances, account_demand total_demand)
{
    peers_.clear();
    digest_ = digest_facts{std::move(listed), live_instances, std::move(total_demand)};
}

void instance_registry::use_heartbeats()
{
    digest_.reset();
}

void instance_registry::set_reachable(bool reachable, time_ms now)
{
    if (reachable && !store_reachable_) {
        store_reachable_since_ = now;
    }
    store_reachable_ = reachable;
}

bool instance_registry::is_live(const peer& tracked, time_ms now) const
{
    return !store_reachable_ || now - std::max(tracked.last_seen_at, store_reachable_since_) <
                                    options_.max_heartbeat_age;
}

std::size_t
instance_registry::needed_count(const std::vector<const instance_heartbeat*>& by_capacity) const
{
    double demand = 0;
    for (const auto* heartbeat : by_capacity) {
        demand += static_cast<double>(heartbeat->request_rate);
    }
    std::size_t best_count = by_capacity.size();
    double largest_total = -1;
    for (std::size_t count = 1; count <= by_capacity.size(); ++count) {
        const auto smallest_capacity = static_cast<double>(by_capacity[count - 1]->capacity);
        const auto total = smallest_capacity * static_cast<double>(count);
        if (count >= options_.min_instances && total >= reserve_factor * demand) {
            return count;
        }
        if (total > largest_total) {
            largest_total = total;
            best_count = count;
        }
    }
    return best_count;
}

std::vector<const instance_heartbeat*> instance_registry::listed(const instance_heartbeat& own,
                                                                 time_ms now) const
{
    if (digest_) {
        std::vector<const instance_heartbeat*> found;
        for (const auto& heartbeat : digest_->listed) {
            if (heartbeat.instance != own_instance_) {
                found.push_back(&heartbeat);
            } else if (own.serving) {
                found.push_back(&own);
            }
        }
        return found;
    }
    std::vector<const instance_heartbeat*> serving;
    if (own.serving) {
        serving.push_back(&own);
    }
    for (const auto& [instance, tracked] : peers_) {
        if (tracked.heartbeat.serving && is_live(tracked, now)) {
            serving.push_back(&tracked.heartbeat);
        }
    }
    std::stable_sort(serving.begin(), serving.end(),
                     [](const auto* a, const auto* b) { return a->capacity > b->capacity; });
    auto count = needed_count(serving);
    const auto min_capacity = count == 0 ? 0 : serving[count - 1]->capacity / max_capacity_ratio;
    while (count < serving.size() && serving[count]->capacity >= min_capacity) {
        ++count;
    }
    serving.resize(std::min(count, options_.max_addresses));
    return serving;
}

std::vector<std::string> instance_registry::addresses(const instance_heartbeat& own,
                                                      time_ms now) const
{
    std::vector<std::string> found;
    for (const auto* heartbeat : listed(own, now)) {
        found.push_back(heartbeat->address);
    }
    return found;
}

std::vector<instance_heartbeat> instance_registry::listed_heartbeats(const instance_heartbeat& own,
                                                                     time_ms now) const
{
    std::vector<instance_heartbeat> found;
    for (const auto* heartbeat : listed(own, now)) {
        found.push_back(*heartbeat);
    }
    return found;
}

// Instances that are cut off from the store all need the same rows at the same time. One relay
// could not pass them on to many, least of all over a small machine's link.
std::vector<std::string> instance_registry::relays(const instance_heartbeat& own, time_ms now) const
{
    struct relay {
        bool is_listed{false};
        std::uint64_t weight{0}; ///< another order at each instance
        std::string address;
    };
    std::vector<relay> found;
    const auto add = [&](const instance_heartbeat& heartbeat, bool is_listed) {
        if (!heartbeat.relay.empty() && heartbeat.instance != own_instance_) {
            found.push_back(
                {is_listed, hash64(own_instance_, hash64(heartbeat.instance)), heartbeat.relay});
        }
    };
    std::set<std::string_view> listed_instances;
    for (const auto* heartbeat : listed(own, now)) {
        listed_instances.insert(heartbeat->instance);
        add(*heartbeat, true);
    }
    for (const auto& [instance, tracked] : peers_) {
        if (is_live(tracked, now) && !listed_instances.contains(instance)) {
            add(tracked.heartbeat, false);
        }
    }
    std::sort(found.begin(), found.end(), [](const relay& a, const relay& b) {
        return std::tuple{!a.is_listed, a.weight} < std::tuple{!b.is_listed, b.weight};
    });
    std::vector<std::string> addresses;
    addresses.reserve(found.size());
    for (auto& each : found) {
        addresses.push_back(std::move(each.address));
    }
    return addresses;
}

account_demand instance_registry::demand_elsewhere(const instance_heartbeat& own, time_ms now) const
{
    if (digest_) {
        auto rest = digest_->total_demand;
        for (const auto& [account, demand] : own.demand) {
            if (const auto found = rest.find(account); found != rest.end()) {
                found->second = std::max<token_count>(0, found->second - demand);
            }
        }
        return rest;
    }
    account_demand sum;
    for (const auto& [instance, tracked] : peers_) {
        if (!is_live(tracked, now)) {
            continue;
        }
        for (const auto& [account, demand] : tracked.heartbeat.demand) {
            sum[account] += demand;
        }
    }
    return sum;
}

std::vector<home_candidate> instance_registry::home_candidates(const instance_heartbeat& own,
                                                               time_ms now) const
{
    std::vector<home_candidate> found;
    for (const auto* heartbeat : listed(own, now)) {
        if (!heartbeat->peer_address.empty()) {
            found.push_back({heartbeat->instance, heartbeat->peer_address});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.instance < b.instance; });
    return found;
}

std::vector<notice_peer> instance_registry::notice_peers(time_ms now) const
{
    std::vector<notice_peer> found;
    const auto add = [&](const instance_heartbeat& heartbeat) {
        if (heartbeat.takes_notices && !heartbeat.peer_address.empty() &&
            heartbeat.instance != own_instance_) {
            found.push_back({heartbeat.instance, heartbeat.peer_address});
        }
    };
    if (digest_) {
        std::for_each(digest_->listed.begin(), digest_->listed.end(), add);
        return found;
    }
    for (const auto& [instance, tracked] : peers_) {
        if (is_live(tracked, now)) {
            add(tracked.heartbeat);
        }
    }
    return found;
}

bool instance_registry::is_live(std::string_view incarnation, time_ms now) const
{
    if (digest_) {
        return true;
    }
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& tracked) {
        return tracked.second.heartbeat.incarnation == incarnation && is_live(tracked.second, now);
    });
}

instance_counts instance_registry::counts(const instance_heartbeat& own, time_ms now) const
{
    instance_counts found;
    if (digest_) {
        found.live = std::max<std::int64_t>(1, digest_->live_instances);
    } else {
        found.live += std::count_if(peers_.begin(), peers_.end(), [&](const auto& tracked) {
            return is_live(tracked.second, now);
        });
    }
    const auto heartbeats = listed(own, now);
    found.listed = std::max<std::int64_t>(1, static_cast<std::int64_t>(heartbeats.size()));
    found.self_listed = std::find(heartbeats.begin(), heartbeats.end(), &own) != heartbeats.end();
    return found;
}

} // namespace jujubevalve
