#include "dispatch/store_route.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Interval of probes of the direct route while a relay is in use.
constexpr time_ms direct_probe_interval{1000};
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

std::vector<std::string> store_route::next_probes(time_ms now)
{
    std::vector<std::string> found;
    if (!is_working_ || (!is_direct() && now >= next_direct_probe_)) {
        found.push_back(store_);
        next_direct_probe_ = now + direct_probe_interval;
    }
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
