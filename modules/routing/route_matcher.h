#pragma once

#include "config/config_snapshot.h"
#include "core/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubevalve
{

/// Destination of a request. The pointers are valid as long as the route_matcher exists.
struct route_target {
    std::string account;
    const route* route_row{nullptr};
    const pool* pool_row{nullptr};
    std::string server_set; ///< name of the pool whose server list is used
};

/// Finds account, route and pool of a request in one configuration snapshot. Create a new object
/// for each snapshot: construction hashes each route once; a match takes constant time for the
/// account plus the snapshot's lookups.
class route_matcher
{
public:
    explicit route_matcher(std::shared_ptr<const config_snapshot> snapshot);

    /// Returns the account of a bearer key; fails with `unauthenticated`. The lookup hashes the
    /// key's digest with a secret seed and compares in constant time, so that its duration reveals
    /// nothing about the stored digests.
    [[nodiscard]] result<std::string> account_of(std::string_view bearer_key) const;

    /// Returns account, route and pool of a request. Fails with `unauthenticated`, `unknown_route`
    /// (also if the pool runs another kind of service) or `no_backend_server` (empty server list).
    [[nodiscard]] result<route_target>
    match(std::string_view bearer_key, std::string_view request_kind, service_kind service) const;

    /// Returns the bearer key of an `Authorization` header value; empty if it has another scheme.
    [[nodiscard]] static std::string_view bearer_key_from_header(std::string_view header);

    [[nodiscard]] const std::shared_ptr<const config_snapshot>& snapshot() const
    {
        return snapshot_;
    }

private:
    struct digest_entry {
        std::string_view digest;
        std::string_view account;
    };

    std::shared_ptr<const config_snapshot> snapshot_;
    std::uint64_t hash_seed_{0};
    std::unordered_map<std::uint64_t, digest_entry> entries_by_hash_;
};

} // namespace jujubevalve
