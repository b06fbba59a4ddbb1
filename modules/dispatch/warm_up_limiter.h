#pragma once

#include "core/time_ms.h"
#include "dispatch/fleet_config.h"
#include "dispatch/fleet_rate_limiter.h"
#include "dispatch/server_entry.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Keeps the requests of all instances to a server that is cold within the rate that its service
/// names for cold servers, without messages: each permit of the rate belongs to one instance, see
/// fleet_rate_limiter. A server is cold while its registration says so, and is taken for cold after
/// a crash and after the evacuation of its failure domain, since its registration is read later
/// than its first requests could be sent. All times are the store's.
class warm_up_limiter
{
public:
    /// `max_overage`: the requests in any second, as a multiple of the rate, that a cold server
    /// may get.
    explicit warm_up_limiter(double max_overage);

    /// Sets the instances that get requests.
    void set_instances(const std::string& own_instance, const std::vector<std::string>& instances);

    /// Sets whether the other instances count this one among those that get requests. If not, its
    /// permits may belong to others, and it has none.
    void set_counted(bool is_counted) { is_counted_ = is_counted; }

    /// Sets the services whose cold servers have a limit.
    void set_services(const fleet_config& config);

    /// Takes the incarnation with this server_key for cold for a while after it was seen to crash.
    void note_crash(std::uint64_t server, time_ms at);

    /// Takes the servers of the failure domain for cold for the duration of a warm-up.
    void note_evacuation_ended(const std::string& domain, time_ms now);

    /// Returns whether the server counts as cold, and its service limits cold servers.
    [[nodiscard]] bool is_limited(const server_entry& server, time_ms now) const;

    /// Returns whether this instance may send a request to the server now.
    [[nodiscard]] bool may_send(const server_entry& server, time_ms now) const;

    /// Counts a request to the server.
    void note_sent(const server_entry& server, time_ms now);

    /// Forgets what no longer matters. Call it regularly.
    void expire(time_ms now);

private:
    struct service_limit {
        time_ms warm_up{};
        std::int64_t per_1000_s{0};
    };

    [[nodiscard]] const service_limit* limit_of(const server_entry& server, time_ms now) const;

    fleet_rate_limiter permits_;
    bool is_counted_{false};
    std::map<std::string, service_limit, std::less<>> services_;
    std::map<std::uint64_t, time_ms> crashed_until_;           ///< by server_key
    std::map<std::string, time_ms, std::less<>> evacuated_to_; ///< end of evacuation, by domain
};

} // namespace jujubevalve
