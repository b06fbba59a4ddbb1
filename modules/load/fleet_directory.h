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

/// Caches the instance addresses and a key prefix for each client account, fetched with
/// GET /v1/instances and kept until they expire. Safe to use from any thread.
class fleet_directory
{
public:
    /// Starts with the bootstrap addresses only.
    fleet_directory(const std::vector<std::string>& bootstrap,
                    const std::vector<load_account>& accounts);

    /// Returns an address for the account's next attempt; see `address_cache::choose`.
    std::string choose(const load_account& account, std::uint64_t random,
                       const std::vector<std::string>& preferred, const std::string& excluded);

    /// Returns the cached answer, or fetches one if it has expired. Returns nothing if no instance
    /// answers.
    std::optional<instance_answer> instances(const load_account& account, std::uint64_t random);

    /// Fetches a new answer, and with it a new key prefix: from the preferred addresses if one
    /// answers, from the instance `excluded` only if no other does. Returns nothing if no instance
    /// answers.
    std::optional<instance_answer> renew(const load_account& account, std::uint64_t random,
                                         const std::vector<std::string>& preferred,
                                         const std::string& excluded);

    /// Avoids an address that did not answer or refuses all requests.
    void avoid(const load_account& account, const std::string& address);

private:
    std::optional<instance_answer> fetch(const load_account& account, const std::string& address);

    std::mutex mutex_;
    std::map<std::string, address_cache> caches_; ///< by account
};

} // namespace jujubevalve
