#include "dispatch/store_route.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Interval of probes of the direct route while a relay is in use.
constexpr time_ms direct_probe_interval{1000};
/// Interval of each instance's probes per instance of the fleet while no route works, so that all
/// of them together make about 250 probes of the store per second.
constexpr time_ms probe_spacing{4};
/// Up to this fleet size, instances probe whenever they are asked to.
constexpr std::int64_t max_unspaced_instances = 128;
} // namespace

store_route::store_route(std::string store)
    : store_{std::move(store)}
    , address_{store_}
{
}

void store_route::set_relays(std::vector<std::string> addresses)
{
    relays_ = std::move(addresses);
}

void store_route::set_instances(std::int64_t instances)
{
    lost_route_interval_ =
        instances > max_unspaced_instances ? probe_spacing * instances : time_ms{0};
}

std::vector<std::string> store_route::next_probes(time_ms now)
{
    std::vector<std::string> found;
    const auto interval = is_working_ ? direct_probe_interval : lost_route_interval_;
    if ((is_working_ && is_direct()) ||
        (last_direct_probe_ && now - *last_direct_probe_ < interval)) {
        return found;
    }
    found.push_back(store_);
    last_direct_probe_ = now;
    if (!is_working_ && !relay_probe_in_flight_ && !relays_.empty()) {
        next_relay_ %= relays_.size();
        found.push_back(relays_[next_relay_++]);
        relay_probe_in_flight_ = true;
    }
    return found;
}

bool store_route::probed(const std::string& address, bool responded)
{
    if (address != store_) {
        relay_probe_in_flight_ = false;
    }
    const bool preferable = !is_working_ || (address == store_ && !is_direct());
    if (!responded || !preferable) {
        return false;
    }
    address_ = address;
    is_working_ = true;
    return true;
}

} // namespace jujubevalve
