#pragma once

#include "config/pool.h"
#include "config/route.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// An immutable snapshot of the routes and pools tables at one version.
class config_snapshot
{
public:
    using route_table = std::map<std::string, route, std::less<>>;
    using pool_table = std::map<std::string, pool, std::less<>>;

    config_snapshot() = default;
    config_snapshot(std::int64_t term, std::int64_t version, route_table routes, pool_table pools);

    [[nodiscard]] std::int64_t term() const { return term_; }
    [[nodiscard]] std::int64_t version() const { return version_; }
    [[nodiscard]] const route_table& routes() const { return routes_; }
    [[nodiscard]] const pool_table& pools() const { return pools_; }

    /// Returns the pool with this name, or null.
    [[nodiscard]] const pool* find_pool(std::string_view name) const;

    /// Returns the route of the account for the request kind, or null.
    [[nodiscard]] const route* find_route(std::string_view account,
                                          std::string_view request_kind) const;

    /// Returns the account whose bearer key has this digest, or an empty string.
    [[nodiscard]] std::string account_of(std::string_view key_digest) const;

    /// Returns the pool's servers: those of the pool named in `servers_of` if it is set, otherwise
    /// its own.
    [[nodiscard]] const std::vector<backend_server>& servers_of(const pool& pool) const;

    friend bool operator==(const config_snapshot& a, const config_snapshot& b)
    {
        return a.term_ == b.term_ && a.version_ == b.version_ && a.routes_ == b.routes_ &&
               a.pools_ == b.pools_;
    }

private:
    std::int64_t term_{0};
    std::int64_t version_{0};
    route_table routes_;
    pool_table pools_;
    std::map<std::string, std::string, std::less<>> account_by_digest_;
    std::map<std::pair<std::string, std::string>, std::string> route_by_account_and_kind_;
};

} // namespace jujubevalve
