#pragma once

#include "core/time_ms.h"
#include "dispatch/call_request.h"
#include "dispatch/server_directory.h"

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubevalve
{

/// Settings of a server_choice.
struct server_choice_options {
    std::string failure_domain;         ///< of this instance
    double read_tokens_per_ms{45};      ///< prompt tokens that an engine reads in a millisecond
    double running_cost_ms{3};          ///< delay that each running request adds to a new one
    double other_domain_cost_ms{6};     ///< preference for the own failure domain
    time_ms report_life{1500};          ///< time in which a load report loses its weight
    time_ms cache_life{20'000};         ///< a prompt part unused for this long counts as evicted
    std::size_t remembered_parts{4096}; ///< prompt parts whose servers are remembered
};

/// Chooses a server for a request. Prompts go where their shared parts are cached, as long as
/// reading them again elsewhere would not be faster; all instances prefer the same servers for the
/// same parts without exchanging anything, by rendezvous hashing. Plain calls go to the less loaded
/// of the servers.
class server_choice
{
public:
    server_choice(server_choice_options options, std::uint64_t seed);

    /// The best of the candidates; null if there is none. `tried` are ids to leave out.
    [[nodiscard]] server_state* choose(const std::vector<server_state*>& candidates,
                                       const generation_request* generation,
                                       const std::vector<std::string>& tried, time_ms now);

    /// Prompt tokens that the server probably has to read.
    [[nodiscard]] token_count unread_tokens(const server_state& server,
                                            const generation_request& generation,
                                            time_ms now) const;

    /// The request's prompt is now cached at the server.
    void remember(const server_state& server, const generation_request& generation, time_ms now);

private:
    [[nodiscard]] double load_of(const server_state& server, time_ms now) const;
    [[nodiscard]] double plain_cost(const server_state& server, time_ms now);
    [[nodiscard]] double generation_cost(const server_state& server,
                                         const generation_request& generation, time_ms now) const;
    [[nodiscard]] double domain_cost(const server_state& server) const;
    [[nodiscard]] bool holds(const server_state& server, std::uint64_t part, time_ms now) const;
    void forget_oldest();

    server_choice_options options_;
    std::minstd_rand random_;
    std::unordered_map<std::uint64_t, time_ms> cached_; ///< by part and server: last use
};

} // namespace jujubevalve
