#include "dispatch/warm_up_limiter.h"

#include "core/digest.h"
#include "dispatch/fleet_notices.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Time after a crash in which the crashed incarnation may have been replaced without its
/// registration having been read: a crashed server is back after some seconds, and the registration
/// of its successor is read within two.
constexpr time_ms crash_memory{10'000};
/// Longer than servers warm up after the evacuation of their domain.
constexpr time_ms evacuation_memory{60'000};
/// Permits last at least this long, so that a fleet whose requests come one by one can use some.
constexpr time_ms min_permit_validity{50};

// A window of one second holds the permits of that second and those that were still valid at its
// beginning. Half of the overage is left for permits that instances which disagree give away twice.
time_ms permit_validity_for(double max_overage)
{
    return std::max(min_permit_validity,
                    time_ms{static_cast<std::int64_t>((max_overage - 1) * 500)});
}

// Incarnations share their server's permits.
std::uint64_t permit_key(const server_entry& server)
{
    return hash64(server.id);
}
} // namespace

warm_up_limiter::warm_up_limiter(double max_overage)
    : permits_{permit_validity_for(max_overage)}
{
}

void warm_up_limiter::set_instances(const std::string& own_instance,
                                    const std::vector<std::string>& instances)
{
    permits_.set_instances(own_instance, instances);
}

void warm_up_limiter::set_services(const fleet_config& config)
{
    services_.clear();
    for (const auto& service : config.content().services) {
        if (service.warm_up_limit_per_1000_s > 0) {
            services_[service.name] = {service.warm_up, service.warm_up_limit_per_1000_s};
        }
    }
}

void warm_up_limiter::note_crash(std::uint64_t server, time_ms at)
{
    auto& until = crashed_until_[server];
    until = std::max(until, at + crash_memory);
}

void warm_up_limiter::note_evacuation_ended(const std::string& domain, time_ms now)
{
    evacuated_to_[domain] = now;
}

const warm_up_limiter::service_limit* warm_up_limiter::limit_of(const server_entry& server,
                                                                time_ms now) const
{
    const auto service = services_.find(server.service);
    if (service == services_.end()) {
        return nullptr;
    }
    if (now < server.cold_until) {
        return &service->second;
    }
    if (const auto ended = evacuated_to_.find(server.failure_domain);
        ended != evacuated_to_.end() && now < ended->second + service->second.warm_up) {
        return &service->second;
    }
    if (crashed_until_.empty()) {
        return nullptr;
    }
    const auto crashed = crashed_until_.find(server_key(server.id, server.incarnation));
    return crashed != crashed_until_.end() && now < crashed->second ? &service->second : nullptr;
}

bool warm_up_limiter::is_limited(const server_entry& server, time_ms now) const
{
    return limit_of(server, now) != nullptr;
}

bool warm_up_limiter::may_send(const server_entry& server, time_ms now) const
{
    const auto* const limit = limit_of(server, now);
    return limit == nullptr ||
           (is_counted_ && permits_.has_permit(permit_key(server), limit->per_1000_s, now));
}

void warm_up_limiter::note_sent(const server_entry& server, time_ms now)
{
    if (const auto* const limit = limit_of(server, now)) {
        permits_.take_permit(permit_key(server), limit->per_1000_s, now);
    }
}

void warm_up_limiter::expire(time_ms now)
{
    permits_.expire(now);
    std::erase_if(crashed_until_, [now](const auto& entry) { return entry.second <= now; });
    std::erase_if(evacuated_to_,
                  [now](const auto& entry) { return now - entry.second >= evacuation_memory; });
}

} // namespace jujubevalve
