#include "sample_tables.h"

#include "core/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace jujubevalve
{

std::string sample_account(std::int64_t number)
{
    return fmt::format("parish-clerks-{:04}", number);
}

std::string sample_bearer_key(std::int64_t account)
{
    return "sample-key-" + sample_account(account);
}

std::string sample_pool_name(std::int64_t number)
{
    return fmt::format("grit-assist-{:06}", number);
}

std::string sample_budget(std::int64_t number)
{
    return fmt::format("prepaid-tokens-{:06}", number);
}

std::string sample_kind(std::int64_t route, std::int64_t accounts)
{
    return fmt::format("grit-assist-{}", route / accounts);
}

std::vector<backend_server> sample_servers(std::int64_t first, std::int64_t count)
{
    std::vector<backend_server> servers;
    for (auto i = first; i < first + count; ++i) {
        servers.push_back({fmt::format("engine-{:05}", i),
                           fmt::format("10.{}.{}.1:9100", i / 250, i % 250),
                           fmt::format("jm-south-{}", i % 16), 64, false});
    }
    return servers;
}

config_snapshot make_tables(const table_size& size)
{
    config_snapshot::route_table routes;
    config_snapshot::pool_table pools;
    const auto models = std::min(size.models, size.pools);
    const auto each = size.servers / models;
    for (std::int64_t i = 0; i < size.pools; ++i) {
        pool row;
        row.name = sample_pool_name(i);
        row.budget = sample_budget(i);
        row.limit_tokens = 1'000'000'000;
        if (i < models) {
            row.servers = sample_servers(i * each, each);
        } else {
            row.servers_of = sample_pool_name(i % models);
        }
        pools.emplace(row.name, row);
    }
    const auto accounts = std::min(size.accounts, size.routes);
    std::vector<std::string> digests;
    for (std::int64_t i = 0; i < accounts; ++i) {
        digests.push_back(sha256_hex(sample_bearer_key(i)));
    }
    for (std::int64_t i = 0; i < size.routes; ++i) {
        route row;
        const auto account = i % accounts;
        row.account = sample_account(account);
        row.request_kind = sample_kind(i, accounts);
        row.name = fmt::format("{}.{}", row.account, i / accounts);
        row.key_digest = digests[static_cast<std::size_t>(account)];
        row.pool = sample_pool_name(i % size.pools);
        routes.emplace(row.name, row);
    }
    return {1, 1, std::move(routes), std::move(pools)};
}

std::vector<config_log_entry> make_top_ups(const config_snapshot& tables, std::int64_t count)
{
    std::vector<config_log_entry> entries;
    entries.reserve(static_cast<std::size_t>(count));
    auto before = tables.pools().rbegin()->second;
    for (std::int64_t i = 1; i <= count; ++i) {
        auto after = before;
        after.limit_tokens += 1;
        config_log_entry entry;
        entry.version = tables.version() + i;
        entry.term = tables.term();
        entry.changes.pools.push_back({before.name, before, after});
        entries.push_back(std::move(entry));
        before = std::move(after);
    }
    return entries;
}

} // namespace jujubevalve
