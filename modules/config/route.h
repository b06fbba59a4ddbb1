#pragma once

#include "core/tokens.h"

#include <string>

namespace jujubevalve
{

/// A row of the routes table: maps a client account and a request kind to a pool.
struct route {
    std::string name;
    std::string account;      ///< client account
    std::string key_digest;   ///< SHA-256 of the account's bearer key, 64 hex digits
    std::string request_kind; ///< model name of a chat request, or kind of a plain call
    std::string pool;
    bool idempotent{true};            ///< false: runs at most once, needs an idempotency key
    int priority{0};                  ///< 0 to 9, passed to engines; higher runs earlier
    token_count max_tokens{4096};     ///< max and default of a request's `max_tokens`
    token_count fixed_cost_tokens{0}; ///< cost of one call of a plain service
    std::int64_t max_request_bytes{1'048'576};

    friend bool operator==(const route&, const route&) = default;
};

} // namespace jujubevalve
