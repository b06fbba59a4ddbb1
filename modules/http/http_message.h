#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Values by lower-case header name. If a header is repeated, its last value is kept.
using http_headers = std::map<std::string, std::string, std::less<>>;

/// A request with its complete body.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    http_headers headers;
    std::string body;
    bool body_too_large{false}; ///< the body exceeded the limit and was discarded

    /// Returns the value of a header, or an empty string. `name` must be lower-case.
    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string_view{} : std::string_view{found->second};
    }
};

/// Result of a stream_source call: it stored bytes in its argument, it reached the end, or the
/// stream must be aborted in a way that shows the peer that it is incomplete.
enum class stream_step { data, end, cut };

/// Produces the next bytes of a streamed body. May block; called by one thread at a time.
using stream_source = std::function<stream_step(std::string& bytes)>;

/// A response with a complete body, or with a streamed body if `stream` is set.
struct http_response {
    int status{200};
    http_headers headers;
    std::string body;
    stream_source stream;
    std::function<void()> on_closed; ///< called once when the response has been sent or abandoned
};

} // namespace jujubevalve
