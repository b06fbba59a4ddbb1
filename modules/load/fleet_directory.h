#pragma once

#include "load/address_cache.h"
#include "load/load_account.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// What callers know about the fleet: for each account the addresses and a key prefix, fetched
/// with GET /v1/instances and kept for their validity. Safe to use from any thread.
class fleet_directory
{
public:
    /// Knows only the bootstrap addresses at first.
    fleet_directory(const std::vector<std::string>& bootstrap,
                    const std::vector<load_account>& accounts);

    /// An address for the account's next attempt; see `address_cache::choose`.
    std::string choose(const load_account& account, std::uint64_t random,
                       const std::vector<std::string>& preferred, const std::string& except);

    /// The answer in force, fetched if need be. Returns nothing if no instance answers.
    std::optional<instance_answer> instances(const load_account& account, std::uint64_t random);

    /// A new answer, and so a new key prefix: from the preferred addresses if one answers, from
    /// the instance `not_from` only if no other does. Returns nothing if no instance answers.
    std::optional<instance_answer> renew(const load_account& account, std::uint64_t random,
                                         const std::vector<std::string>& preferred,
                                         const std::string& not_from);

    /// Notes that an address did not answer or refuses work.
    void avoid(const load_account& account, const std::string& address);

private:
    std::optional<instance_answer> fetch(const load_account& account, const std::string& address);

    std::mutex mutex_;
    std::map<std::string, address_cache> caches_; ///< by account
};

} // namespace jujubevalve
