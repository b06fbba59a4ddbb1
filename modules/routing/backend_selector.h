#pragma once

#include "core/digest.h"
#include "core/result.h"
#include "routing/selector_policy.h"
#include "routing/server_set.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// The server chosen for a request.
struct backend_choice {
    std::string name;
    std::string address;
    bool probe{false}; ///< the server is suspected; this request tests whether it works again

    friend bool operator==(const backend_choice&, const backend_choice&) = default;
};

/// Properties of a request that needs a backend server.
struct backend_query {
    std::string_view
        prompt_prefix;     ///< first bytes of the prompt, for prefix affinity; may be empty
    bool idempotent{true}; ///< only idempotent requests are used as probes
    std::vector<std::string> tried; ///< names of servers that must not be chosen again
};

/// Chooses backend servers from one server list; pools that share the list share the selector. Call
/// finished() once for each chosen server. Not synchronised: the caller locks.
template <selector_policy Policy>
class basic_backend_selector
{
public:
    explicit basic_backend_selector(std::uint64_t seed, server_set_options options = {},
                                    Policy policy = Policy{})
        : servers_{options}
        , policy_{std::move(policy)}
        , random_{seed}
    {
    }

    /// Returns the server states, for updates from load reports and the instance list.
    [[nodiscard]] server_set& servers() { return servers_; }
    [[nodiscard]] const server_set& servers() const { return servers_; }

    /// Chooses a server and counts the request as in flight there. Fails with `no_backend_server`
    /// if no server of the list can take it.
    [[nodiscard]] result<backend_choice> choose(const backend_query& query, time_ms now);

    /// Result of a request at its server. `neutral`: it does not show whether the server works.
    enum class ending { succeeded, failed, neutral };

    /// Ends a request that choose() counted as in flight.
    void finished(std::string_view server, ending outcome, time_ms now);

private:
    [[nodiscard]] std::optional<server_index> start_probe(const backend_query& query,
                                                          const selection_context& context);

    server_set servers_;
    Policy policy_;
    selector_random random_;
};

/// The selector that the router uses.
using backend_selector = basic_backend_selector<affinity_bounded_load>;

template <selector_policy Policy>
result<backend_choice> basic_backend_selector<Policy>::choose(const backend_query& query,
                                                              time_ms now)
{
    selection_context context{hash64(query.prompt_prefix), {}, now};
    for (const auto& name : query.tried) {
        if (const auto server = servers_.find(name)) {
            context.tried.push_back(*server);
        }
    }
    const auto probed_server = start_probe(query, context);
    const auto server = probed_server ? probed_server : policy_.pick(servers_, context, random_);
    if (!server) {
        return failure{result_code::no_backend_server,
                       "every backend server of the pool is leaving, suspected or already tried"};
    }
    servers_.add_in_flight(*server);
    const auto& row = servers_.row(*server);
    return backend_choice{row.name, row.address, probed_server.has_value()};
}

template <selector_policy Policy>
std::optional<server_index>
basic_backend_selector<Policy>::start_probe(const backend_query& query,
                                            const selection_context& context)
{
    if (!query.idempotent || !context.tried.empty()) {
        return std::nullopt;
    }
    return servers_.start_due_probe(context.now);
}

template <selector_policy Policy>
void basic_backend_selector<Policy>::finished(std::string_view server, ending outcome, time_ms now)
{
    const auto index = servers_.find(server);
    if (!index) {
        return;
    }
    servers_.remove_in_flight(*index);
    switch (outcome) {
    case ending::succeeded:
        servers_.record_success(*index);
        break;
    case ending::failed:
        servers_.record_failure(*index, now);
        break;
    case ending::neutral:
        servers_.record_inconclusive(*index, now);
        break;
    }
}

} // namespace jujubevalve
