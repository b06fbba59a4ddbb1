#include "routing/selector_policy.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
bool is_tried(const selection_context& context, server_index server)
{
    return std::find(context.tried.begin(), context.tried.end(), server) != context.tried.end();
}

/// Returns a random candidate that was not tried. Draws a few times before it scans all candidates,
/// because a request has seldom tried more than two servers.
std::optional<server_index> draw_untried(const server_set& servers,
                                         const selection_context& context, selector_random& random)
{
    const auto& candidates = servers.candidates();
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any_index{0, candidates.size() - 1};
    constexpr int max_draws = 4;
    for (int i = 0; i < max_draws; ++i) {
        const auto server = candidates[any_index(random)];
        if (!is_tried(context, server)) {
            return server;
        }
    }
    const auto offset = any_index(random);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto server = candidates[(offset + i) % candidates.size()];
        if (!is_tried(context, server)) {
            return server;
        }
    }
    return std::nullopt;
}
} // namespace

std::optional<server_index> random_choice::pick(server_set& servers,
                                                const selection_context& context,
                                                selector_random& random) const
{
    return draw_untried(servers, context, random);
}

std::optional<server_index> least_reported_load::pick(server_set& servers,
                                                      const selection_context& context,
                                                      selector_random& /*random*/) const
{
    std::optional<server_index> best;
    for (const auto server : servers.candidates()) {
        if (!is_tried(context, server) &&
            (!best || servers.reported_load(server) < servers.reported_load(*best))) {
            best = server;
        }
    }
    return best;
}

std::optional<server_index> sampled_choice::pick(server_set& servers,
                                                 const selection_context& context,
                                                 selector_random& random) const
{
    auto best = draw_untried(servers, context, random);
    for (int i = 1; best && i < sample_size_; ++i) {
        const auto other = *draw_untried(servers, context, random);
        if (servers.load(other, context.now) < servers.load(*best, context.now)) {
            best = other;
        }
    }
    return best;
}

std::optional<server_index> affinity_bounded_load::pick(server_set& servers,
                                                        const selection_context& context,
                                                        selector_random& random) const
{
    const auto preferred = servers.affinity_server(context.affinity_key);
    if (preferred && !is_tried(context, *preferred) &&
        servers.load(*preferred, context.now) <= max_relative_load_ * servers.mean_load()) {
        return preferred;
    }
    return fallback_.pick(servers, context, random);
}

} // namespace jujubevalve
