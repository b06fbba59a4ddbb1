#pragma once

#include <string_view>

namespace jujubevalve
{

/// How a request at a backend server ended.
enum class backend_outcome {
    not_delivered, ///< the server did not run it and will not run it
    refused,       ///< the server rejected it without running it
    ended,         ///< the complete answer was received
    stopped,       ///< the caller's callback stopped it; the server may still be running it
    lost,          ///< the connection broke or the answer was invalid; it may have run
    silent,        ///< no byte was received within the idle timeout; it may have run
};

/// Returns true if the request is known not to have run.
constexpr bool is_known_not_run(backend_outcome end)
{
    return end == backend_outcome::not_delivered || end == backend_outcome::refused;
}

/// Returns the name for logs, such as `not_delivered`.
std::string_view to_string(backend_outcome end);

} // namespace jujubevalve
