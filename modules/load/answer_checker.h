#pragma once

#include "backend/sse_parser.h"
#include "standins/engine_answer.h"

#include <string>
#include <string_view>

namespace jujubevalve
{

/// Checks a chat answer of the fleet token by token against what the engine stand-in has to
/// answer to the prompt.
class answer_checker
{
public:
    /// Expects the answer to this prompt, cut at `max_tokens`.
    answer_checker(std::string_view prompt, token_count max_tokens);

    /// Takes bytes of an event stream. Returns how many tokens they brought.
    int feed(std::string_view bytes);

    /// Checks a whole answer that was not streamed.
    void check_body(const std::string& body);

    /// Whether the answer said that it is complete.
    [[nodiscard]] bool ended() const { return ended_; }

    /// Whether the answer was broken off by an error event, which its reader can see.
    [[nodiscard]] bool broken_off() const { return broken_off_; }

    /// Whether something in the answer was wrong, or it ended without being whole.
    [[nodiscard]] bool wrong() const { return wrong_ || (ended_ && index_ != expected_.size()); }

    /// Number of right tokens so far.
    [[nodiscard]] token_count tokens() const { return index_; }

private:
    int take(const sse_event& event);

    engine_answer expected_;
    sse_parser parser_;
    token_count index_{0};
    bool ended_{false};
    bool broken_off_{false};
    bool wrong_{false};
};

} // namespace jujubevalve
