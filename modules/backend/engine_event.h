#pragma once

#include "backend/usage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// One event of an engine's answer stream.
struct engine_event {
    std::string key; ///< key of the request that the event belongs to
    std::int64_t index{0};
    std::string text;
    std::string finish; ///< `stop` or `length` in the last event of an answer, else empty
    std::optional<usage> used;

    friend bool operator==(const engine_event&, const engine_event&) = default;
};

/// Parses the data of a server-sent event. Returns nullopt if it is not a chat chunk.
std::optional<engine_event> parse_engine_event(std::string_view data);

/// Serializes the event as a JSON chat chunk; the inverse of `parse_engine_event`.
std::string to_chunk(const engine_event& event);

} // namespace jujubevalve
