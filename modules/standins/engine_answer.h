#pragma once

#include "core/tokens.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// The answer that the engine stand-in generates for a prompt. It is derived from the prompt alone,
/// so a caller can verify every token that it received.
class engine_answer
{
public:
    /// Generates the answer to the prompt, truncated to `max_tokens`. The length is derived from
    /// the prompt (8 to 71 tokens) unless the prompt contains a word `tokens=<n>`, which sets it (1
    /// to 100000).
    engine_answer(std::string_view prompt, token_count max_tokens);

    /// Number of tokens.
    [[nodiscard]] token_count size() const { return size_; }

    /// Text of the token at this zero-based index.
    [[nodiscard]] std::string token(token_count index) const;

    /// Text of all tokens.
    [[nodiscard]] std::string text() const;

    /// The finish reason: `length` if `max_tokens` truncated the answer, else `stop`.
    [[nodiscard]] std::string_view finish() const { return cut_ ? "length" : "stop"; }

private:
    std::string digest_;
    token_count size_;
    bool cut_;
};

/// The prompt of a chat request: the contents of all messages, joined by a line feed. Empty if the
/// body is not a chat request.
std::string prompt_of(std::string_view chat_body);

/// Number of tokens of a prompt: one per word.
token_count count_prompt_tokens(std::string_view prompt);

} // namespace jujubevalve
