#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Keeps the requests of all instances to a server within the rate that it names, without messages.
/// A limit of n requests a second makes a permit every 1/n seconds of the store's time. Each permit
/// belongs to one instance, by rendezvous hashing, and lapses if that does not use it. So the
/// number of instances does not matter, and instances that disagree on one of them give away no
/// more than its share twice.
class fleet_rate_limiter
{
public:
    /// Time in which a permit must be used. Requests in a window of 4 s thus stay below 5.5 times
    /// the limit.
    static constexpr time_ms default_permit_validity{1500};

    /// In a window, requests stay below the limit times the window plus `permit_validity`.
    explicit fleet_rate_limiter(time_ms permit_validity = default_permit_validity);

    /// Sets the instances that get requests.
    void set_instances(const std::string& own_instance, const std::vector<std::string>& instances);

    /// Returns whether this instance may send a request to the server now. `server`: its
    /// server_key; `limit_per_1000_s`: requests that all instances may send in 1000 s.
    [[nodiscard]] bool has_permit(std::uint64_t server, std::int64_t limit_per_1000_s,
                                  time_ms now) const;

    /// Uses up a permit.
    void take_permit(std::uint64_t server, std::int64_t limit_per_1000_s, time_ms now);

    /// Grants no permit of the time before now, since the limit was not known then.
    void begin(std::uint64_t server, time_ms now);

    /// Forgets servers that have had no request for a while.
    void expire(time_ms now);

private:
    [[nodiscard]] bool is_own(std::uint64_t server, std::int64_t permit) const;
    /// Returns the first own permit that is valid and not used; 0 if there is none.
    [[nodiscard]] std::int64_t first_permit(std::uint64_t server, std::int64_t limit_per_1000_s,
                                            time_ms now) const;

    time_ms permit_validity_;
    std::vector<std::uint64_t> other_instances_;  ///< hashes of their names
    std::uint64_t own_hash_{0};                   ///< 0 if this instance gets no requests
    std::map<std::uint64_t, time_ms> used_until_; ///< permits up to this time are used, by server
};

} // namespace jujubevalve
