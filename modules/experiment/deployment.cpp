#include "experiment/deployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace jujubevalve::experiment
{

namespace
{
constexpr std::int64_t account_count = 10;
constexpr std::int64_t large_account_count = 3;
constexpr double limit_period_ms = 30.0 * 24 * 60 * 60 * 1000;
constexpr std::int64_t engine_slots = 8;
constexpr std::int64_t plain_slots = 16;
// The ports only make up addresses in the tables; nothing connects to them.
constexpr std::int64_t first_engine_port = 9000;
constexpr std::int64_t first_plain_port = 9100;

backend_server make_server(const deployment& site, const std::string& pool, std::int64_t number,
                           std::int64_t slots)
{
    const auto port = (pool == site.engine_pool ? first_engine_port : first_plain_port) + number;
    return {fmt::format("{}-{}", pool, number), fmt::format("127.0.0.1:{}", port),
            site.domain_of(number), slots, false};
}

pool make_pool(const deployment& site, const std::string& name, const std::string& budget,
               double tokens_per_ms)
{
    pool row;
    row.name = name;
    row.budget = budget;
    row.limit_tokens = static_cast<token_count>(tokens_per_ms * limit_period_ms);
    row.safety_margin_tokens =
        site.margin_divisor == 0 ? 0 : row.limit_tokens / site.margin_divisor;
    return row;
}

route make_route(const std::string& account, const std::string& kind, const std::string& pool)
{
    route row;
    row.name = account + "-" + kind;
    row.account = account;
    row.key_digest = sha256_hex(account);
    row.request_kind = kind;
    row.pool = pool;
    return row;
}
} // namespace

std::string deployment::instance(std::int64_t number) const
{
    return fmt::format("router-{}", number);
}

const std::string& deployment::domain_of(std::int64_t number) const
{
    return domains.at(static_cast<std::size_t>(number) % domains.size());
}

std::optional<deployment> find_deployment(std::string_view name)
{
    if (name == "braithwaite") {
        return deployment{"braithwaite",
                          "Braithwaite & Daughters Grit Supply",
                          "jm-south",
                          {"jm-south-a", "jm-south-b", "jm-south-c"},
                          8,
                          "grit-assist",
                          9,
                          "yard-ledger",
                          3,
                          0};
    }
    if (name == "braeside") {
        // The site is unattended at night, so 1/10,000 of each limit is kept as a safety margin
        // that is never granted.
        return deployment{"braeside",
                          "Braeside Soapstone Blanks Ltd",
                          "scot-north",
                          {"north-a", "north-b", "north-c"},
                          9,
                          "model-pool",
                          9,
                          "shop-core",
                          3,
                          10'000};
    }
    return std::nullopt;
}

double demand_profile::rate_of(std::string_view account) const
{
    double rate = 0;
    for (const auto& client : clients) {
        rate += client.account == account ? client.requests_per_ms : 0;
    }
    return rate;
}

std::vector<std::string> demand_profile::accounts() const
{
    std::set<std::string> names;
    for (const auto& client : clients) {
        names.insert(client.account);
    }
    return {names.begin(), names.end()};
}

demand_profile draw_demand(const deployment& site, double requests_per_ms, std::mt19937_64& random)
{
    std::uniform_real_distribution<> weight_distribution{0.5, 1.5};
    std::vector<double> weights;
    double large_weight = 0;
    double small_weight = 0;
    for (std::int64_t i = 0; i < account_count; ++i) {
        weights.push_back(weight_distribution(random));
        (i < large_account_count ? large_weight : small_weight) += weights.back();
    }
    std::vector<double> domain_weights;
    for (std::size_t i = 0; i < site.domains.size(); ++i) {
        domain_weights.push_back(weight_distribution(random));
    }
    std::discrete_distribution<std::size_t> domain{domain_weights.begin(), domain_weights.end()};
    demand_profile demand;
    for (std::int64_t i = 0; i < account_count; ++i) {
        const bool is_large = i < large_account_count;
        const auto weight = weights.at(static_cast<std::size_t>(i));
        const auto share = is_large ? weight / large_weight * 2 / 3 : weight / small_weight / 3;
        const auto programs = is_large ? 4 : 2;
        for (int p = 0; p < programs; ++p) {
            demand.clients.push_back({fmt::format("account-{}", i), site.domains.at(domain(random)),
                                      requests_per_ms * share / programs});
        }
    }
    return demand;
}

request_shape draw_shape(std::mt19937_64& random)
{
    request_shape shape;
    shape.prompt_bytes = std::uniform_int_distribution<std::int64_t>{100, 800}(random);
    shape.max_tokens = token_count{64} << std::uniform_int_distribution<int>{0, 3}(random);
    const auto used_fraction = std::uniform_real_distribution<>{0.3, 1.0}(random);
    shape.used = shape.prompt_bytes / 4 +
                 static_cast<token_count>(used_fraction * static_cast<double>(shape.max_tokens));
    return shape;
}

std::string chat_budget(std::string_view account)
{
    return fmt::format("{}-tokens", account);
}

std::string plain_budget(const deployment& site)
{
    return site.plain_pool + "-tokens";
}

config_snapshot make_config(const deployment& site, const demand_profile& demand)
{
    config_snapshot::pool_table pools;
    config_snapshot::route_table routes;
    double plain_rate = 0;
    for (const auto& account : demand.accounts()) {
        const auto rate = demand.rate_of(account);
        plain_rate += rate * demand.plain_share;
        auto row = make_pool(site, site.engine_pool + "-" + account, chat_budget(account),
                             rate * (1 - demand.plain_share) * mean_used_tokens);
        row.servers_of = site.engine_pool;
        pools.emplace(row.name, row);
        auto chat = make_route(account, "chat", row.name);
        routes.emplace(chat.name, chat);
        auto order = make_route(account, "order", site.plain_pool);
        order.idempotent = false;
        order.fixed_cost_tokens = plain_call_tokens;
        routes.emplace(order.name, order);
    }
    // The account pools share the server list of this pool, which no route uses itself.
    auto engines = make_pool(site, site.engine_pool, site.engine_pool + "-spare", 1);
    for (std::int64_t i = 0; i < site.engines; ++i) {
        engines.servers.push_back(make_server(site, site.engine_pool, i, engine_slots));
    }
    pools.emplace(engines.name, engines);
    auto plain = make_pool(site, site.plain_pool, plain_budget(site),
                           plain_rate * static_cast<double>(plain_call_tokens));
    plain.kind = service_kind::plain;
    for (std::int64_t i = 0; i < site.plain_servers; ++i) {
        plain.servers.push_back(make_server(site, site.plain_pool, i, plain_slots));
    }
    pools.emplace(plain.name, plain);
    return {1, 1, std::move(routes), std::move(pools)};
}

} // namespace jujubevalve::experiment
