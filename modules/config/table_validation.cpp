#include "config/table_validation.h"

#include <fmt/format.h>
#include <map>

namespace jujubevalve
{

namespace
{
// Validates both tables and collects the errors.
class validator
{
public:
    validator(const config_snapshot::route_table& routes, const config_snapshot::pool_table& pools)
        : routes_{routes}
        , pools_{pools}
    {
    }

    std::vector<failure> run()
    {
        for (const auto& [name, row] : routes_) {
            check_route(row);
        }
        for (const auto& [name, row] : pools_) {
            check_margin(row);
            check_servers_of(row);
            check_servers(row);
            check_budget(row);
        }
        return std::move(errors_);
    }

private:
    struct server_ref {
        std::string pool;
        std::string server;
    };

    void fail(result_code code, std::string_view table, std::string_view row,
              std::string_view field, std::string_view value, std::string_view expected)
    {
        errors_.push_back({code, fmt::format("{} row \"{}\": field \"{}\" is {}, expected {}",
                                             table, row, field, value, expected)});
    }

    void check_route(const route& row)
    {
        check_route_pool(row);
        const auto [existing_route, is_new] =
            route_by_account_and_kind_.emplace(std::pair{row.account, row.request_kind}, row.name);
        if (!is_new) {
            fail(result_code::invalid_table, "routes", row.name, "request_kind",
                 fmt::format("\"{}\"", row.request_kind),
                 fmt::format("a kind that account \"{}\" has no other route for; row \"{}\" has it",
                             row.account, existing_route->second));
        }
        const auto [digest_route, digest_is_new] = route_by_digest_.emplace(row.key_digest, &row);
        if (!digest_is_new && digest_route->second->account != row.account) {
            fail(
                result_code::invalid_table, "routes", row.name, "key_digest", "(not shown)",
                fmt::format("a key that no other account uses; row \"{}\" of account \"{}\" has it",
                            digest_route->second->name, digest_route->second->account));
        }
        const auto [account_route, account_is_new] = route_by_account_.emplace(row.account, &row);
        if (!account_is_new && account_route->second->key_digest != row.key_digest) {
            fail(result_code::invalid_table, "routes", row.name, "key_digest", "(not shown)",
                 fmt::format("the same key in all rows of account \"{}\"; row \"{}\" has another",
                             row.account, account_route->second->name));
        }
    }

    void check_route_pool(const route& row)
    {
        const auto found = pools_.find(row.pool);
        if (found == pools_.end()) {
            fail(result_code::unknown_name, "routes", row.name, "pool",
                 fmt::format("\"{}\"", row.pool), "the name of a row of the pools table");
            return;
        }
        const bool engine = found->second.kind == service_kind::engine;
        if (engine && !row.idempotent) {
            fail(result_code::invalid_table, "routes", row.name, "idempotent", "false",
                 fmt::format("true, because pool \"{}\" has kind \"engine\"", row.pool));
        }
        if (engine && row.fixed_cost_tokens != 0) {
            fail(result_code::invalid_table, "routes", row.name, "fixed_cost_tokens",
                 std::to_string(row.fixed_cost_tokens),
                 fmt::format("0, because pool \"{}\" has kind \"engine\"", row.pool));
        }
        if (!engine && row.fixed_cost_tokens == 0) {
            fail(result_code::invalid_table, "routes", row.name, "fixed_cost_tokens", "0",
                 fmt::format("a number from 1 to {}, because pool \"{}\" has kind \"plain\"",
                             max_token_count, row.pool));
        }
    }

    void check_margin(const pool& row)
    {
        if (row.safety_margin_tokens > row.limit_tokens) {
            fail(result_code::invalid_table, "pools", row.name, "safety_margin_tokens",
                 std::to_string(row.safety_margin_tokens),
                 fmt::format("a number from 0 to the limit {}", row.limit_tokens));
        }
    }

    void check_servers_of(const pool& row)
    {
        if (row.servers_of.empty()) {
            if (row.servers.empty()) {
                fail(result_code::invalid_table, "pools", row.name, "servers", "[]",
                     "at least one server, or a pool name in \"servers_of\"");
            }
            return;
        }
        const auto value = fmt::format("\"{}\"", row.servers_of);
        if (!row.servers.empty()) {
            fail(result_code::invalid_table, "pools", row.name, "servers",
                 fmt::format("a list of {}", row.servers.size()),
                 "an empty list, because \"servers_of\" is set");
        }
        const auto found = pools_.find(row.servers_of);
        if (found == pools_.end()) {
            fail(result_code::unknown_name, "pools", row.name, "servers_of", value,
                 "the name of a row of the pools table");
            return;
        }
        const auto& shared = found->second;
        if (shared.name == row.name || !shared.servers_of.empty()) {
            fail(result_code::invalid_table, "pools", row.name, "servers_of", value,
                 "a pool that lists its own servers");
            return;
        }
        if (shared.kind != row.kind || shared.checks_fencing != row.checks_fencing) {
            fail(result_code::invalid_table, "pools", row.name, "servers_of", value,
                 "a pool with the same \"kind\" and \"checks_fencing\"");
        }
    }

    void check_servers(const pool& row)
    {
        for (const auto& server : row.servers) {
            // A request's key at a backend server contains the server's name, so a name must
            // identify exactly one server.
            check_unique(server_by_name_, server.name, {row.name, server.name}, "servers.name");
            check_unique(server_by_address_, server.address, {row.name, server.name},
                         "servers.address");
        }
    }

    void check_unique(std::map<std::string, server_ref>& seen, const std::string& value,
                      const server_ref& server, std::string_view field)
    {
        const auto [existing, is_new] = seen.emplace(value, server);
        if (!is_new) {
            fail(
                result_code::duplicate_name, "pools", server.pool, field,
                fmt::format("\"{}\"", value),
                fmt::format("a value that no other server has; server \"{}\" of pool \"{}\" has it "
                            "(pools share servers by \"servers_of\")",
                            existing->second.server, existing->second.pool));
        }
    }

    void check_budget(const pool& row)
    {
        const auto [found, is_new] = pool_by_budget_.emplace(row.budget, &row);
        const auto& existing = *found->second;
        if (is_new) {
            return;
        }
        if (existing.limit_tokens != row.limit_tokens) {
            fail(result_code::invalid_table, "pools", row.name, "limit_tokens",
                 std::to_string(row.limit_tokens),
                 fmt::format("{} as in row \"{}\", which has the same budget \"{}\"",
                             existing.limit_tokens, existing.name, row.budget));
        }
        if (existing.safety_margin_tokens != row.safety_margin_tokens) {
            fail(result_code::invalid_table, "pools", row.name, "safety_margin_tokens",
                 std::to_string(row.safety_margin_tokens),
                 fmt::format("{} as in row \"{}\", which has the same budget \"{}\"",
                             existing.safety_margin_tokens, existing.name, row.budget));
        }
    }

    const config_snapshot::route_table& routes_;
    const config_snapshot::pool_table& pools_;
    std::vector<failure> errors_;
    std::map<std::pair<std::string, std::string>, std::string> route_by_account_and_kind_;
    std::map<std::string, const route*> route_by_digest_;
    std::map<std::string, const route*> route_by_account_;
    std::map<std::string, server_ref> server_by_name_;
    std::map<std::string, server_ref> server_by_address_;
    std::map<std::string, const pool*> pool_by_budget_;
};
} // namespace

std::vector<failure> validate(const config_snapshot::route_table& routes,
                              const config_snapshot::pool_table& pools)
{
    return validator{routes, pools}.run();
}

} // namespace jujubevalve
