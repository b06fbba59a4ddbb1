#pragma once

#include "config/backend_server.h"
#include "core/tokens.h"

#include <vector>

namespace jujubevalve
{

/// What kind of program a pool's backend servers run.
enum class service_kind { engine, plain };

/// A row of the pools table: which backend servers serve under which budget.
struct pool {
    std::string name;
    service_kind kind{service_kind::engine};
    std::string servers_of; ///< if set, the servers of that pool are used and `servers` is empty
    std::vector<backend_server> servers;
    std::string budget;
    token_count limit_tokens{0};         ///< upper bound of all spend under the budget, ever
    token_count safety_margin_tokens{0}; ///< part of the limit that is never granted
    bool checks_fencing{false};          ///< its servers refuse orders with an outdated token

    friend bool operator==(const pool&, const pool&) = default;

    /// The tokens that may be granted: the limit less the safety margin.
    [[nodiscard]] token_count grantable() const { return limit_tokens - safety_margin_tokens; }
};

} // namespace jujubevalve
