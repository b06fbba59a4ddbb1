#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// A block of a prompt that several requests may share.
struct prompt_block {
    std::uint64_t id{0};
    token_count tokens{0};

    friend bool operator==(const prompt_block&, const prompt_block&) = default;
};

/// Size and prompt blocks of a request to a model engine.
struct generation_request {
    token_count prompt_tokens{0};
    token_count max_output_tokens{0};
    std::vector<prompt_block> parts; ///< in order; the last is the request's or session's own

    /// Returns the max number of tokens that the request can use, prompt included.
    [[nodiscard]] token_count most() const { return prompt_tokens + max_output_tokens; }
    /// Returns the ids of the blocks that other requests may share: all but the last.
    [[nodiscard]] std::vector<std::uint64_t> shared_blocks() const
    {
        std::vector<std::uint64_t> ids;
        for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
            ids.push_back(parts[i].id);
        }
        return ids;
    }
    friend bool operator==(const generation_request&, const generation_request&) = default;
};

/// A caller's request, as parsed from its headers.
struct call_request {
    std::string id;
    std::string host;
    std::string target; ///< path and query
    std::string key;
    std::optional<time_ms> time_limit; ///< the caller's timeout, from when it sent the request
    std::optional<generation_request> generation;

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// Load that a server reports with a response.
struct server_load {
    std::int64_t running{0};
    std::int64_t waiting{0};
    std::int64_t slots{0};
    /// How long work takes at the server now, in percent of its usual time. Only servers that share
    /// their machines with others report it; it changes many times a second.
    std::optional<std::int64_t> slowness_percent{};

    friend bool operator==(const server_load&, const server_load&) = default;
};

/// A header whose value cannot be decoded.
struct unreadable_header {
    std::string name;
    std::string value;

    friend bool operator==(const unreadable_header&, const unreadable_header&) = default;
};

/// Whether a status tells the caller that its request has not run and never will.
constexpr bool states_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Status and headers of a server's response, as far as the gateway uses them.
struct server_response {
    int status{0};
    bool refused{false}; ///< the server states that it has not run the request
    /// The body has a content coding. Servers never apply one, so the body is not the server's own.
    bool encoded{false};
    bool is_signed{false}; ///< carries the server's signature, as all its own responses do
    bool is_event_stream{false};
    std::optional<std::string> request_id; ///< of the request that the response belongs to
    std::optional<server_load> load;
    /// Requests per second that the server takes from all instances together.
    std::optional<double> rate_limit;
    bool is_leaving{false};                    ///< the server says that it takes no new requests
    std::vector<unreadable_header> unreadable; ///< headers that count as absent

    /// Whether the response proves that the server has not run the request. The end of a
    /// connection never does, with or without a byte.
    [[nodiscard]] bool proves_not_run() const { return refused && states_not_run(status); }

    friend bool operator==(const server_response&, const server_response&) = default;
};

} // namespace jujubevalve
