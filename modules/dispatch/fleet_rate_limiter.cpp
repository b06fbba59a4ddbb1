#include "dispatch/fleet_rate_limiter.h"

#include "core/digest.h"

#include <algorithm>
#include <array>

namespace jujubevalve
{

namespace
{
constexpr std::int64_t ms_per_1000_s = 1'000'000;
/// Of faster limits only so many of the latest permits are looked at.
constexpr std::int64_t max_checked_permits = 1024;

std::uint64_t weight_of(std::uint64_t instance, std::uint64_t server, std::int64_t permit)
{
    const std::array<std::uint64_t, 3> values{instance, server, static_cast<std::uint64_t>(permit)};
    return hash64({reinterpret_cast<const char*>(values.data()), sizeof values});
}

/// Returns the number of the last permit that is due at a time.
std::int64_t permit_at(time_ms at, std::int64_t limit_per_1000_s)
{
    // In two parts, so that the product stays in range.
    const auto whole = at.count() / ms_per_1000_s;
    const auto rest = at.count() % ms_per_1000_s;
    return whole * limit_per_1000_s + rest * limit_per_1000_s / ms_per_1000_s;
}

/// Returns the first time at which a permit is due.
time_ms time_of(std::int64_t permit, std::int64_t limit_per_1000_s)
{
    const auto whole = permit / limit_per_1000_s;
    const auto rest = permit % limit_per_1000_s;
    return time_ms{whole * ms_per_1000_s +
                   (rest * ms_per_1000_s + limit_per_1000_s - 1) / limit_per_1000_s};
}
} // namespace

fleet_rate_limiter::fleet_rate_limiter(time_ms permit_validity)
    : permit_validity_{permit_validity}
{
}

void fleet_rate_limiter::set_instances(const std::string& own_instance,
                                       const std::vector<std::string>& instances)
{
    own_hash_ = 0;
    other_instances_.clear();
    for (const auto& instance : instances) {
        (instance == own_instance ? own_hash_ : other_instances_.emplace_back()) = hash64(instance);
    }
}

bool fleet_rate_limiter::is_own(std::uint64_t server, std::int64_t permit) const
{
    const auto own_weight = weight_of(own_hash_, server, permit);
    return own_hash_ != 0 &&
           std::all_of(other_instances_.begin(), other_instances_.end(), [&](auto instance) {
               return weight_of(instance, server, permit) < own_weight;
           });
}

std::int64_t fleet_rate_limiter::first_permit(std::uint64_t server, std::int64_t limit_per_1000_s,
                                              time_ms now) const
{
    if (limit_per_1000_s <= 0) {
        return 0;
    }
    auto after = now - permit_validity_;
    if (const auto used = used_until_.find(server); used != used_until_.end()) {
        after = std::max(after, used->second);
    }
    const auto last = permit_at(now, limit_per_1000_s);
    const auto first =
        std::max(permit_at(after, limit_per_1000_s) + 1, last - max_checked_permits + 1);
    for (auto permit = first; permit <= last; ++permit) {
        if (is_own(server, permit)) {
            return permit;
        }
    }
    return 0;
}

bool fleet_rate_limiter::has_permit(std::uint64_t server, std::int64_t limit_per_1000_s,
                                    time_ms now) const
{
    return first_permit(server, limit_per_1000_s, now) != 0;
}

void fleet_rate_limiter::take_permit(std::uint64_t server, std::int64_t limit_per_1000_s,
                                     time_ms now)
{
    if (const auto permit = first_permit(server, limit_per_1000_s, now); permit != 0) {
        used_until_[server] = time_of(permit, limit_per_1000_s);
    }
}

void fleet_rate_limiter::begin(std::uint64_t server, time_ms now)
{
    used_until_[server] = now;
}

void fleet_rate_limiter::expire(time_ms now)
{
    std::erase_if(used_until_,
                  [&](const auto& entry) { return now - entry.second > permit_validity_; });
}

} // namespace jujubevalve
