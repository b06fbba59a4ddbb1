#pragma once

#include "core/tokens.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// A chat request to one engine.
struct engine_request {
    std::string key;      ///< `<incarnation>.<server>.<n>`, unique for each run
    std::string metadata; ///< opaque text that a later cancel returns
    std::string body;     ///< JSON object of the chat request
    int priority{0};      ///< 0 to 9, higher runs earlier
    token_count max_tokens{0};
    std::string fencing_token;
    std::int64_t from_index{0}; ///< first event requested; above 0 only for a resume

    friend bool operator==(const engine_request&, const engine_request&) = default;
};

/// Returns the request's JSON with `stream`, `stream_options` and `max_tokens` set. If the body is
/// not a JSON object, the result has only these fields.
std::string to_engine_body(const engine_request& request);

} // namespace jujubevalve
