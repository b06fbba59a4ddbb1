#pragma once

#include "core/time_ms.h"
#include "load/instance_answer.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Caches the instance addresses for one client account until the answer that lists them expires.
class address_cache
{
public:
    /// Starts with the bootstrap addresses only. A failed address is avoided for `avoid_duration`.
    explicit address_cache(std::vector<std::string> bootstrap, time_ms avoid_duration = seconds(3));

    /// Replaces the cached answer by a new one of GET /v1/instances.
    void update(instance_answer answer, time_ms now);

    /// Whether a new answer has to be fetched.
    [[nodiscard]] bool is_stale(time_ms now) const { return now >= valid_until_; }

    /// Avoids an address that did not answer or refuses all requests.
    void avoid(const std::string& address, time_ms now);

    /// Chooses an address by a random number, first from `preferred`, then from the cached answer,
    /// then from the bootstrap list; skips avoided addresses and `excluded`. If none is left,
    /// chooses any cached (or else bootstrap) address. Returns an empty string if none is known.
    [[nodiscard]] std::string choose(std::uint64_t random,
                                     const std::vector<std::string>& preferred,
                                     const std::string& excluded, time_ms now) const;

    /// Returns the addresses to send GET /v1/instances to, in order: usable cached ones, then all
    /// bootstrap addresses.
    [[nodiscard]] std::vector<std::string> sources(std::uint64_t random, time_ms now) const;

    /// Returns the cached answer unless it has expired.
    [[nodiscard]] std::optional<instance_answer> current(time_ms now) const;

private:
    [[nodiscard]] bool is_avoided(const std::string& address, time_ms now) const;
    [[nodiscard]] std::vector<std::string> usable(const std::vector<std::string>& from,
                                                  const std::string& excluded, time_ms now) const;

    std::vector<std::string> bootstrap_;
    time_ms avoid_duration_;
    instance_answer answer_;
    time_ms valid_until_{0};
    std::map<std::string, time_ms> avoided_until_;
};

} // namespace jujubevalve
