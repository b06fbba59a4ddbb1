#pragma once

#include <cstdint>
#include <optional>

namespace jujubevalve
{

/// A number of model tokens.
using token_count = std::int64_t;

/// Max token count accepted as input; the sum of a million such values still fits 64 bits.
inline constexpr token_count max_token_count = 1'000'000'000'000;

/// Returns the sum of two token counts, or nothing if one is negative or the sum overflows.
constexpr std::optional<token_count> add_tokens(token_count a, token_count b)
{
    token_count sum = 0;
    if (a < 0 || b < 0 || __builtin_add_overflow(a, b, &sum)) {
        return std::nullopt;
    }
    return sum;
}

} // namespace jujubevalve
