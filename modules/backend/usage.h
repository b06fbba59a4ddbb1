#pragma once

#include "core/tokens.h"

namespace jujubevalve
{

/// Tokens that one request consumed at an engine.
struct usage {
    token_count prompt_tokens{0};
    token_count completion_tokens{0};

    friend bool operator==(const usage&, const usage&) = default;

    /// Returns the sum of prompt and completion tokens.
    [[nodiscard]] token_count total() const { return prompt_tokens + completion_tokens; }
};

} // namespace jujubevalve
