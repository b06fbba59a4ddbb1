#pragma once

#include "config/backend_server.h"
#include "core/tokens.h"

#include <vector>

namespace jujubevalve
{

/// The kind of service that a pool's backend servers run.
enum class service_kind { engine, plain };

/// A row of the pools table: a set of backend servers and the budget that their requests spend.
struct pool {
    std::string name;
    service_kind kind{service_kind::engine};
    std::string servers_of; ///< if set, the pool whose servers are used; `servers` is then empty
    std::vector<backend_server> servers;
    std::string budget;
    token_count limit_tokens{0};         ///< max total spend of the budget over its whole lifetime
    token_count safety_margin_tokens{0}; ///< tokens of the limit that are never granted
    bool checks_fencing{false}; ///< its servers reject requests with an outdated fencing token

    friend bool operator==(const pool&, const pool&) = default;

    /// Max tokens that may be granted: the limit minus the safety margin.
    [[nodiscard]] token_count grantable() const { return limit_tokens - safety_margin_tokens; }
};

} // namespace jujubevalve
