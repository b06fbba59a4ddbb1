#pragma once

#include "core/tokens.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// A chat request as it goes to one engine.
struct engine_request {
    std::string key;      ///< `<incarnation>.<server>.<n>`, unique for each run
    std::string metadata; ///< opaque text that a later cancel returns
    std::string body;     ///< JSON object of the chat request
    int priority{0};      ///< 0 to 9, higher runs earlier
    token_count max_tokens{0};
    std::string fencing_token;
    std::int64_t from_index{0}; ///< first event wanted; above 0 only when a run is resumed

    friend bool operator==(const engine_request&, const engine_request&) = default;
};

/// The body to send: the request's JSON with `stream`, `stream_options` and `max_tokens` set.
/// A body that is no JSON object gives one with these fields only.
std::string to_engine_body(const engine_request& request);

} // namespace jujubevalve
