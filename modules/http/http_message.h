#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Header names in lower case, each with its last value.
using http_headers = std::map<std::string, std::string, std::less<>>;

/// A request with its whole body.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    http_headers headers;
    std::string body;
    bool body_too_large{false}; ///< the body was longer than the server takes and was dropped

    /// The header's value, or an empty text. The name is in lower case.
    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string_view{} : std::string_view{found->second};
    }
};

/// What a stream source did: put bytes into its argument, reached the end, or has to cut the
/// stream so that the peer can see that it is incomplete.
enum class stream_step { data, end, cut };

/// Produces the next bytes of a streamed body. May block; is called from one thread at a time.
using stream_source = std::function<stream_step(std::string& bytes)>;

/// A response with a whole body, or with a streamed one if `stream` is set.
struct http_response {
    int status{200};
    http_headers headers;
    std::string body;
    stream_source stream;
    std::function<void()> on_closed; ///< called once when the response was sent or abandoned
};

} // namespace jujubevalve
