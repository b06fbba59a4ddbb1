#pragma once

#include <cstdint>
#include <optional>

namespace jujubevalve
{

/// A number of model tokens.
using token_count = std::int64_t;

/// Largest token count accepted from outside; sums of a million such values still fit.
inline constexpr token_count max_token_count = 1'000'000'000'000;

/// Adds two token counts. Returns nothing if an operand is negative or the sum overflows.
constexpr std::optional<token_count> add_tokens(token_count a, token_count b)
{
    token_count sum = 0;
    if (a < 0 || b < 0 || __builtin_add_overflow(a, b, &sum)) {
        return std::nullopt;
    }
    return sum;
}

} // namespace jujubevalve
