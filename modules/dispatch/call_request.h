#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// A part of a prompt that several requests may share.
struct prompt_part {
    std::uint64_t id{0};
    token_count tokens{0};

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// Size and parts of a request to a model engine.
struct generation_request {
    token_count prompt_tokens{0};
    token_count max_output_tokens{0};
    std::vector<prompt_part> parts; ///< in order; the last belongs to the request or its session

    [[nodiscard]] token_count most() const { return prompt_tokens + max_output_tokens; }
    friend bool operator==(const generation_request&, const generation_request&) = default;
};

/// What a caller says about its request.
struct call_request {
    std::string id;
    std::string host;
    std::string target; ///< path and query
    std::string key;
    std::optional<time_ms> time_limit; ///< how long the caller waits, from when it sent the request
    std::optional<generation_request> generation;

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// What a server says about its load.
struct server_load {
    std::int64_t running{0};
    std::int64_t waiting{0};
    std::int64_t slots{0};

    friend bool operator==(const server_load&, const server_load&) = default;
};

/// What the fields of a server's response say.
struct server_response {
    int status{0};
    bool refused{false};   ///< the server states that it has not run the request
    bool encoded{false};   ///< the body has a content coding, so it is not the server's own
    bool is_signed{false}; ///< carries the server's signature, as every answer of its own does
    bool is_event_stream{false};
    std::optional<std::string> request_id; ///< of the request that it answers
    std::optional<server_load> load;

    friend bool operator==(const server_response&, const server_response&) = default;
};

} // namespace jujubevalve
