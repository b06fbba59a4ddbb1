#pragma once

#include "config/config.h"
#include "core/core.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve::experiment
{

/// One of the two deployments of docs/design.md, section 1.3.
struct deployment {
    std::string name;
    std::string operator_name;
    std::string region;
    std::vector<std::string> domains; ///< failure domains
    std::int64_t routers{0};
    std::string engine_pool;
    std::int64_t engines{0};
    std::string plain_pool;
    std::int64_t plain_servers{0};
    std::int64_t margin_divisor{0}; ///< safety margin = limit / margin_divisor; 0: no margin

    /// Returns the name of the instance with that number, counted from 0.
    [[nodiscard]] std::string instance(std::int64_t number) const;
    /// Returns the failure domain of the instance with that number.
    [[nodiscard]] const std::string& domain_of(std::int64_t number) const;
};

/// Returns the deployment `braithwaite` or `braeside`, or nothing for another name.
std::optional<deployment> find_deployment(std::string_view name);

/// A program of a client account that sends requests.
struct client_profile {
    std::string account;
    std::string domain;        ///< the nearest failure domain
    double requests_per_ms{0}; ///< mean rate
};

/// The request rates of all client programs, drawn from the seed.
struct demand_profile {
    std::vector<client_profile> clients;
    double plain_share{0.2}; ///< fraction of requests that go to the plain service

    /// Returns the mean rate of an account in requests per millisecond.
    [[nodiscard]] double rate_of(std::string_view account) const;
    /// Returns the account names in order.
    [[nodiscard]] std::vector<std::string> accounts() const;
};

/// Size of one request.
struct request_shape {
    std::int64_t prompt_bytes{0};
    token_count max_tokens{0};
    token_count used{0}; ///< tokens that a complete run consumes

    [[nodiscard]] token_count reservation() const { return prompt_bytes + max_tokens; }
};

inline constexpr token_count plain_call_tokens = 50;
/// Mean of `request_shape::used`.
inline constexpr double mean_used_tokens = 268;

/// Draws the client programs: ten accounts, of which three send two thirds of the requests, and
/// failure domains with unequal shares.
demand_profile draw_demand(const deployment& site, double requests_per_ms, std::mt19937_64& random);

/// Draws the size of a chat request.
request_shape draw_shape(std::mt19937_64& random);

/// Returns the name of an account's chat budget, or of the plain service's budget.
std::string chat_budget(std::string_view account);
std::string plain_budget(const deployment& site);

/// Returns version 1 of the route and pool tables. Each limit covers 30 days of mean demand.
config_snapshot make_config(const deployment& site, const demand_profile& demand);

} // namespace jujubevalve::experiment
