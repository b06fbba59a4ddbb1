#include "load/address_cache.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujubevalve
{

address_cache::address_cache(std::vector<std::string> bootstrap, time_ms avoid_duration)
    : bootstrap_{std::move(bootstrap)}
    , avoid_duration_{avoid_duration}
{
}

void address_cache::update(instance_answer answer, time_ms now)
{
    valid_until_ = now + answer.valid;
    answer_ = std::move(answer);
    std::erase_if(avoided_until_, [now](const auto& entry) { return entry.second <= now; });
}

void address_cache::avoid(const std::string& address, time_ms now)
{
    avoided_until_[address] = now + avoid_duration_;
}

std::string address_cache::choose(std::uint64_t random, const std::vector<std::string>& preferred,
                                  const std::string& excluded, time_ms now) const
{
    for (const auto* const list : {&preferred, &answer_.addresses, &bootstrap_}) {
        const auto candidates = usable(*list, excluded, now);
        if (!candidates.empty()) {
            return candidates[random % candidates.size()];
        }
    }
    const auto& fallback = answer_.addresses.empty() ? bootstrap_ : answer_.addresses;
    return fallback.empty() ? std::string{} : fallback[random % fallback.size()];
}

std::vector<std::string> address_cache::sources(std::uint64_t random, time_ms now) const
{
    auto known = usable(answer_.addresses, {}, now);
    if (!known.empty()) {
        std::rotate(known.begin(),
                    known.begin() + static_cast<std::ptrdiff_t>(random % known.size()),
                    known.end());
    }
    std::vector<std::string> others = bootstrap_;
    if (!others.empty()) {
        std::rotate(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(random % others.size()),
                    others.end());
    }
    known.insert(known.end(), others.begin(), others.end());
    return known;
}

std::optional<instance_answer> address_cache::current(time_ms now) const
{
    return is_stale(now) ? std::nullopt : std::optional{answer_};
}

bool address_cache::is_avoided(const std::string& address, time_ms now) const
{
    const auto found = avoided_until_.find(address);
    return found != avoided_until_.end() && found->second > now;
}

std::vector<std::string> address_cache::usable(const std::vector<std::string>& from,
                                               const std::string& excluded, time_ms now) const
{
    std::vector<std::string> candidates;
    std::copy_if(
        from.begin(), from.end(), std::back_inserter(candidates),
        [&](const auto& address) { return address != excluded && !is_avoided(address, now); });
    return candidates;
}

} // namespace jujubevalve
