#pragma once

#include "backend/engine_event.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// What to do with an event of an answer stream.
enum class event_verdict {
    deliver,   ///< the next event of this answer
    wrong_key, ///< belongs to another request: drop it
    repeated,  ///< was delivered before: drop it
    skipped,   ///< events before it are missing: drop it and resume the stream
    surplus,   ///< comes after the last event of the answer: drop it
};

/// Checks that an answer is complete and belongs to its request (guarantee G3).
class stream_checker
{
public:
    /// Accepts only events with this key, starting at this index.
    explicit stream_checker(std::string key, std::int64_t first_index = 0);

    /// Judges one event and, if it is to be delivered, moves on to the next index.
    event_verdict check(const engine_event& event);

    /// Index of the event that is needed next.
    [[nodiscard]] std::int64_t next_index() const { return next_index_; }

    /// Whether the last event of the answer was delivered.
    [[nodiscard]] bool complete() const { return complete_; }

private:
    std::string key_;
    std::int64_t next_index_;
    bool complete_{false};
};

} // namespace jujubevalve
