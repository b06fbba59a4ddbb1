#include "routing/route_matcher.h"

#include "core/digest.h"

#include <fmt/core.h>
#include <random>
#include <utility>

namespace jujubevalve
{

namespace
{
std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}
} // namespace

route_matcher::route_matcher(std::shared_ptr<const config_snapshot> snapshot)
    : snapshot_{std::move(snapshot)}
    , hash_seed_{random_seed()}
{
    for (const auto& [name, row] : snapshot_->routes()) {
        entries_by_hash_.emplace(hash64(row.key_digest, hash_seed_),
                                 digest_entry{row.key_digest, row.account});
    }
}

result<std::string> route_matcher::account_of(std::string_view bearer_key) const
{
    const auto digest = sha256_hex(bearer_key);
    const auto found = entries_by_hash_.find(hash64(digest, hash_seed_));
    if (bearer_key.empty() || found == entries_by_hash_.end() ||
        !equal_constant_time(found->second.digest, digest)) {
        return failure{result_code::unauthenticated,
                       "header Authorization: expected \"Bearer <key>\" with the key of a client "
                       "account"};
    }
    return std::string{found->second.account};
}

result<route_target> route_matcher::match(std::string_view bearer_key,
                                          std::string_view request_kind, service_kind service) const
{
    const auto account = account_of(bearer_key);
    if (!account) {
        return account.error();
    }
    const auto* const matched_route = snapshot_->find_route(*account, request_kind);
    const auto* const target_pool =
        matched_route == nullptr ? nullptr : snapshot_->find_pool(matched_route->pool);
    if (target_pool == nullptr || target_pool->kind != service) {
        return failure{result_code::unknown_route,
                       fmt::format("client account \"{}\" has no route for \"{}\" on this path",
                                   *account, request_kind)};
    }
    if (snapshot_->servers_of(*target_pool).empty()) {
        return failure{result_code::no_backend_server,
                       fmt::format("pool \"{}\" lists no backend server", target_pool->name)};
    }
    return route_target{*account, matched_route, target_pool,
                        target_pool->servers_of.empty() ? target_pool->name
                                                        : target_pool->servers_of};
}

std::string_view route_matcher::bearer_key_from_header(std::string_view header)
{
    static constexpr std::string_view scheme = "Bearer ";
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string_view{};
}

} // namespace jujubevalve
