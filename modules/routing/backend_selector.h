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

/// A chosen server.
struct backend_choice {
    std::string name;
    std::string address;
    bool probe{false}; ///< the server was suspected, and this request tests it

    friend bool operator==(const backend_choice&, const backend_choice&) = default;
};

/// A request that needs a backend server.
struct backend_query {
    std::string_view prompt_start;  ///< for prefix affinity; may be empty
    bool idempotent{true};          ///< only such requests serve as probes
    std::vector<std::string> tried; ///< servers that are not to be chosen again
};

/// Chooses backend servers of one server list; pools that share the list share the selector. Each
/// choice must be followed by finished() for that server. Not synchronised: the caller locks.
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

    /// Load and availability, for reports and lists.
    [[nodiscard]] server_set& servers() { return servers_; }
    [[nodiscard]] const server_set& servers() const { return servers_; }

    /// Chooses a server and counts the request as in flight there. Fails with `no_backend_server`.
    [[nodiscard]] result<backend_choice> choose(const backend_query& query, time_ms now);

    /// How the request ended at the server. `neutral` says nothing about the server's health.
    enum class ending { succeeded, failed, neutral };
    void finished(std::string_view server, ending how, time_ms now);

private:
    [[nodiscard]] std::optional<server_index> probe(const backend_query& query,
                                                    const selection& choice);

    server_set servers_;
    Policy policy_;
    selector_random random_;
};

/// The selector of the router.
using backend_selector = basic_backend_selector<affinity_bounded_load>;

template <selector_policy Policy>
result<backend_choice> basic_backend_selector<Policy>::choose(const backend_query& query,
                                                              time_ms now)
{
    selection choice{hash64(query.prompt_start), {}, now};
    for (const auto& name : query.tried) {
        if (const auto server = servers_.find(name)) {
            choice.tried.push_back(*server);
        }
    }
    const auto probed = probe(query, choice);
    const auto server = probed ? probed : policy_.pick(servers_, choice, random_);
    if (!server) {
        return failure{result_code::no_backend_server,
                       "every backend server of the pool is leaving, suspected or already tried"};
    }
    servers_.add_in_flight(*server);
    const auto& row = servers_.row(*server);
    return backend_choice{row.name, row.address, probed.has_value()};
}

template <selector_policy Policy>
std::optional<server_index> basic_backend_selector<Policy>::probe(const backend_query& query,
                                                                  const selection& choice)
{
    if (!query.idempotent || !choice.tried.empty()) {
        return std::nullopt;
    }
    return servers_.take_probe(choice.now);
}

template <selector_policy Policy>
void basic_backend_selector<Policy>::finished(std::string_view server, ending how, time_ms now)
{
    const auto index = servers_.find(server);
    if (!index) {
        return;
    }
    servers_.remove_in_flight(*index);
    switch (how) {
    case ending::succeeded:
        servers_.succeeded(*index);
        break;
    case ending::failed:
        servers_.failed(*index, now);
        break;
    case ending::neutral:
        servers_.ended_without_verdict(*index, now);
        break;
    }
}

} // namespace jujubevalve
