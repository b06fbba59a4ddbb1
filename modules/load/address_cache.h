#pragma once

#include "core/time_ms.h"
#include "load/instance_answer.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// The instance addresses that a caller knows for one account, kept for their validity.
class address_cache
{
public:
    /// Starts with the bootstrap addresses. A failed address is avoided for `avoid_for`.
    explicit address_cache(std::vector<std::string> bootstrap, time_ms avoid_for = seconds(3));

    /// Takes an answer of GET /v1/instances.
    void update(instance_answer answer, time_ms now);

    /// Whether a new answer has to be fetched.
    [[nodiscard]] bool is_stale(time_ms now) const { return now >= valid_until_; }

    /// Notes that an address did not answer or refuses work.
    void avoid(const std::string& address, time_ms now);

    /// One of the addresses, by a random number; `preferred` and addresses that are not avoided
    /// come first, `except` last. Empty only if no address is known at all.
    [[nodiscard]] std::string choose(std::uint64_t random,
                                     const std::vector<std::string>& preferred,
                                     const std::string& except, time_ms now) const;

    /// Addresses to ask for instances, in order of preference: known ones, then bootstrap.
    [[nodiscard]] std::vector<std::string> sources(std::uint64_t random, time_ms now) const;

    /// The answer in force, if there is one that has not expired.
    [[nodiscard]] std::optional<instance_answer> current(time_ms now) const;

private:
    [[nodiscard]] bool is_avoided(const std::string& address, time_ms now) const;
    [[nodiscard]] std::vector<std::string> usable(const std::vector<std::string>& from,
                                                  const std::string& except, time_ms now) const;

    std::vector<std::string> bootstrap_;
    time_ms avoid_for_;
    instance_answer answer_;
    time_ms valid_until_{0};
    std::map<std::string, time_ms> avoided_until_;
};

} // namespace jujubevalve
