#include "dispatch/store_route.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Interval of probes of the straight way while a relay is in use.
constexpr time_ms straight_interval{1000};
} // namespace

store_route::store_route(std::string store)
    : store_{std::move(store)}
    , in_use_{store_}
{
}

void store_route::set_relays(std::vector<std::string> addresses)
{
    relays_ = std::move(addresses);
}

std::vector<std::string> store_route::next_probes(time_ms now)
{
    std::vector<std::string> found;
    if (!works_ || (!is_straight() && now >= next_straight_probe_)) {
        found.push_back(store_);
        next_straight_probe_ = now + straight_interval;
    }
    if (!works_ && !relay_probed_ && !relays_.empty()) {
        next_relay_ %= relays_.size();
        found.push_back(relays_[next_relay_++]);
        relay_probed_ = true;
    }
    return found;
}

bool store_route::probed(const std::string& address, bool answered)
{
    if (address != store_) {
        relay_probed_ = false;
    }
    const bool better = !works_ || (address == store_ && !is_straight());
    if (!answered || !better) {
        return false;
    }
    in_use_ = address;
    works_ = true;
    return true;
}

} // namespace jujubevalve
