#pragma once

#include "core/result.h"
#include "core/tokens.h"

#include <string>
#include <string_view>

namespace jujubevalve
{

/// The fields of a pools row that limit a budget.
struct pool_limit {
    std::string budget;
    token_count limit_tokens{0};
    token_count safety_margin_tokens{0};

    friend bool operator==(const pool_limit&, const pool_limit&) = default;
};

/// Parses the limit from the JSON of a pools row; other fields are ignored. Fails with
/// `malformed_row`.
result<pool_limit> parse_pool_limit(std::string_view text);

} // namespace jujubevalve
