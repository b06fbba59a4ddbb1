#pragma once

#include "config/config.h"

namespace jujubevalve::fixtures
{

inline route a_route(const std::string& name, const std::string& account = "parish-north")
{
    route row;
    row.name = name;
    row.account = account;
    row.key_digest = std::string(63, 'a') + account.back();
    row.key_digest.back() = account == "parish-north" ? 'a' : 'b';
    row.request_kind = name;
    row.pool = "grit";
    return row;
}

inline pool a_pool(const std::string& name, const std::string& budget = "brine")
{
    pool row;
    row.name = name;
    row.servers = {{"server-" + name, "127.0.0.1:" + std::to_string(9000 + name.size()), "a", 4}};
    row.budget = budget;
    row.limit_tokens = 1000;
    row.safety_margin_tokens = 100;
    return row;
}

inline config_snapshot::route_table routes(const std::vector<route>& rows)
{
    config_snapshot::route_table table;
    for (const auto& row : rows) {
        table.emplace(row.name, row);
    }
    return table;
}

inline config_snapshot::pool_table pools(const std::vector<pool>& rows)
{
    config_snapshot::pool_table table;
    for (const auto& row : rows) {
        table.emplace(row.name, row);
    }
    return table;
}

} // namespace jujubevalve::fixtures
