#pragma once

#include "backend/engine_event.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// How to handle an event of an answer stream.
enum class event_verdict {
    deliver,   ///< the next event of this answer
    wrong_key, ///< belongs to another request: drop it
    repeated,  ///< already delivered: drop it
    skipped,   ///< events before it are missing: drop it and resume the stream
    surplus,   ///< follows the last event of the answer: drop it
};

/// Checks that the events of an answer belong to its request and that each is delivered once, in
/// order and without gaps.
class stream_checker
{
public:
    /// Accepts only events with `key`, starting at `first_index`.
    explicit stream_checker(std::string key, std::int64_t first_index = 0);

    /// Checks one event and advances to the next index if it is to be delivered.
    event_verdict check(const engine_event& event);

    /// Returns the index of the next event to deliver.
    [[nodiscard]] std::int64_t next_index() const { return next_index_; }

    /// Returns true once the last event of the answer was delivered.
    [[nodiscard]] bool complete() const { return complete_; }

private:
    std::string key_;
    std::int64_t next_index_;
    bool complete_{false};
};

} // namespace jujubevalve
