#pragma once

#include "core/time_ms.h"
#include "dispatch/call_request.h"
#include "dispatch/fleet_config.h"
#include "dispatch/prompt_cache_model.h"
#include "dispatch/server_directory.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Settings of a server_choice.
struct server_choice_options {
    std::string failure_domain;            ///< of this instance
    double prefill_tokens_per_ms{45};      ///< prefill rate of an engine
    double cost_per_running_request_ms{3}; ///< delay that each running request adds to a new one
    /// The same for each request of the average load of a server that shares its machine, if work
    /// takes its usual time there: about a step of an engine.
    double delay_per_average_request_ms{5};
    double cross_domain_cost_ms{6};    ///< penalty for leaving this instance's failure domain
    time_ms load_report_max_age{1500}; ///< age at which a load report has lost all its weight
    prompt_cache_options cache{};
};

/// Chooses a server for a request. Prompts go to a server that has their shared blocks cached,
/// unless a prefill elsewhere would be faster. By rendezvous hashing all instances prefer the same
/// servers for the same blocks without communication, and fast servers for more blocks than slow
/// ones. Plain calls go to the server with the lowest load and latency.
class server_choice
{
public:
    server_choice(server_choice_options options, std::uint64_t seed);

    /// Returns the candidate with the lowest cost; null if there is none. Skips the ids in `tried`.
    [[nodiscard]] server_state* choose(const std::vector<server_state*>& candidates,
                                       const generation_request* generation,
                                       const std::vector<std::string>& tried, time_ms now);

    /// Returns the prompt tokens that the server probably has not cached and must prefill.
    [[nodiscard]] token_count estimate_prefill_tokens(const server_state& server,
                                                      const generation_request& generation) const;

    /// Records that the request is sent to the server: its shared blocks are cached there then.
    void remember(const server_state& server, const generation_request& generation);

    /// Sets the engines' memory that the configuration names.
    void set_engines(const std::vector<service_options>& services);

    /// Records the load report that a server has just sent.
    void note_report(const server_state& server);

private:
    /// Estimates the requests that run or wait at the server.
    [[nodiscard]] double load_of(const server_state& server, time_ms now) const;
    [[nodiscard]] double plain_cost(const server_state& server, time_ms now);
    [[nodiscard]] double generation_cost(const server_state& server, token_count prefill_tokens,
                                         time_ms now) const;
    /// Estimates how long the `load` of the server delays a new request.
    [[nodiscard]] double expected_delay_ms(const server_state& server, double load) const;
    void note_own_load(const std::vector<server_state*>& servers);
    [[nodiscard]] double domain_cost(const server_state& server) const;

    server_choice_options options_;
    std::minstd_rand random_;
    prompt_cache_model cache_;
};

} // namespace jujubevalve
