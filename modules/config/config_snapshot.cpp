#include "config/config_snapshot.h"

#include <utility>

namespace jujubevalve
{

config_snapshot::config_snapshot(std::int64_t term, std::int64_t version, route_table routes,
                                 pool_table pools)
    : term_{term}
    , version_{version}
    , routes_{std::move(routes)}
    , pools_{std::move(pools)}
{
    for (const auto& [name, row] : routes_) {
        account_by_digest_.emplace(row.key_digest, row.account);
        route_by_account_and_kind_.emplace(std::pair{row.account, row.request_kind}, name);
    }
}

const pool* config_snapshot::find_pool(std::string_view name) const
{
    const auto found = pools_.find(name);
    return found == pools_.end() ? nullptr : &found->second;
}

const route* config_snapshot::find_route(std::string_view account,
                                         std::string_view request_kind) const
{
    const auto found =
        route_by_account_and_kind_.find(std::pair{std::string{account}, std::string{request_kind}});
    return found == route_by_account_and_kind_.end() ? nullptr : &routes_.at(found->second);
}

std::string config_snapshot::account_of(std::string_view key_digest) const
{
    const auto found = account_by_digest_.find(key_digest);
    return found == account_by_digest_.end() ? std::string{} : found->second;
}

const std::vector<backend_server>& config_snapshot::servers_of(const pool& pool) const
{
    const auto* const shared = pool.servers_of.empty() ? nullptr : find_pool(pool.servers_of);
    return shared == nullptr ? pool.servers : shared->servers;
}

} // namespace jujubevalve
