#pragma once

#include "backend/sse_parser.h"
#include "standins/engine_answer.h"

#include <string>
#include <string_view>

namespace jujubevalve
{

/// Checks a chat answer of the fleet token by token against the answer that the engine stand-in
/// generates for the prompt.
class answer_checker
{
public:
    /// Expects the answer to this prompt, cut at `max_tokens`.
    answer_checker(std::string_view prompt, token_count max_tokens);

    /// Parses bytes of an event stream. Returns the number of correct tokens in them.
    int feed(std::string_view bytes);

    /// Checks a whole answer that was not streamed.
    void check_body(const std::string& body);

    /// Whether the answer was marked complete: a `[DONE]` event, or a body without streaming.
    [[nodiscard]] bool ended() const { return ended_; }

    /// Whether an error event ended the stream early. The caller can tell that it is incomplete.
    [[nodiscard]] bool has_error_event() const { return has_error_event_; }

    /// Whether the answer had wrong content, or was marked complete with tokens missing.
    [[nodiscard]] bool wrong() const { return wrong_ || (ended_ && index_ != expected_.size()); }

    /// Number of correct tokens so far.
    [[nodiscard]] token_count tokens() const { return index_; }

private:
    int check_event(const sse_event& event);

    engine_answer expected_;
    sse_parser parser_;
    token_count index_{0};
    bool ended_{false};
    bool has_error_event_{false};
    bool wrong_{false};
};

} // namespace jujubevalve
