#pragma once

#include <string_view>

namespace jujubevalve
{

/// How a request at a backend server ended.
enum class backend_end {
    not_delivered, ///< certain: it did not run and will not run
    refused,       ///< certain: the server said that it did not run it
    ended,         ///< the whole answer arrived
    stopped,       ///< the caller's callback stopped it; the server may still run it
    lost,          ///< the connection broke or the answer was wrong; whether it ran is unknown
    silent,        ///< no byte arrived for the idle timeout; whether it ran is unknown
};

/// Whether the end makes certain that the request did not run.
constexpr bool certainly_not_run(backend_end end)
{
    return end == backend_end::not_delivered || end == backend_end::refused;
}

/// Name of the end for logs, such as `not_delivered`.
std::string_view to_string(backend_end end);

} // namespace jujubevalve
