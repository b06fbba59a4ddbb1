#include "routing/selector_policy.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
bool is_tried(const selection& choice, server_index server)
{
    return std::find(choice.tried.begin(), choice.tried.end(), server) != choice.tried.end();
}

/// A random candidate that was not tried. Draws a few times before it scans, because a request has
/// seldom tried more than two servers.
std::optional<server_index> draw(const server_set& servers, const selection& choice,
                                 selector_random& random)
{
    const auto& candidates = servers.candidates();
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any{0, candidates.size() - 1};
    constexpr int max_draws = 4;
    for (int i = 0; i < max_draws; ++i) {
        const auto server = candidates[any(random)];
        if (!is_tried(choice, server)) {
            return server;
        }
    }
    const auto start = any(random);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto server = candidates[(start + i) % candidates.size()];
        if (!is_tried(choice, server)) {
            return server;
        }
    }
    return std::nullopt;
}
} // namespace

std::optional<server_index> random_choice::pick(server_set& servers, const selection& choice,
                                                selector_random& random) const
{
    return draw(servers, choice, random);
}

std::optional<server_index> least_reported_load::pick(server_set& servers, const selection& choice,
                                                      selector_random& /*random*/) const
{
    std::optional<server_index> best;
    for (const auto server : servers.candidates()) {
        if (!is_tried(choice, server) &&
            (!best || servers.reported_load(server) < servers.reported_load(*best))) {
            best = server;
        }
    }
    return best;
}

std::optional<server_index> sampled_choice::pick(server_set& servers, const selection& choice,
                                                 selector_random& random) const
{
    auto best = draw(servers, choice, random);
    for (int i = 1; best && i < sample_; ++i) {
        const auto other = *draw(servers, choice, random);
        if (servers.load(other, choice.now) < servers.load(*best, choice.now)) {
            best = other;
        }
    }
    return best;
}

std::optional<server_index> affinity_bounded_load::pick(server_set& servers,
                                                        const selection& choice,
                                                        selector_random& random) const
{
    const auto preferred = servers.affinity_server(choice.affinity);
    if (preferred && !is_tried(choice, *preferred) &&
        servers.load(*preferred, choice.now) <= bound_ * servers.mean_load()) {
        return preferred;
    }
    return fallback_.pick(servers, choice, random);
}

} // namespace jujubevalve
