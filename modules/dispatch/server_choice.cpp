#include "dispatch/server_choice.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Rank that a rendezvous choice must have to count as holding the shared parts.
constexpr std::size_t home_servers = 2;
/// Cost of a server that is avoided, so that it is taken only if all are.
constexpr double avoided_cost_ms = 1e7;
constexpr double refused_cost_ms = 1e5;
/// Cost of the second home over the first, so that parts gather at the first.
constexpr double second_home_cost_ms = 25;

std::uint64_t part_at(std::uint64_t part, const server_state& server)
{
    const auto bytes = std::string_view{reinterpret_cast<const char*>(&part), sizeof part};
    return hash64(server.entry.id, hash64(bytes));
}

/// The last part that other requests share; the one before the request's own.
const prompt_part* shared_part(const generation_request& generation)
{
    const auto count = generation.parts.size();
    return count == 0 ? nullptr : &generation.parts[count >= 2 ? count - 2 : 0];
}

std::array<const server_state*, home_servers> homes(const std::vector<server_state*>& candidates,
                                                    std::uint64_t part)
{
    std::array<const server_state*, home_servers> best{};
    std::array<std::uint64_t, home_servers> weights{};
    for (const auto* server : candidates) {
        auto weight = part_at(part, *server);
        const auto* item = server;
        for (std::size_t i = 0; i < home_servers; ++i) {
            if (best.at(i) == nullptr || weight > weights.at(i)) {
                std::swap(best.at(i), item);
                std::swap(weights.at(i), weight);
                if (item == nullptr) {
                    break;
                }
            }
        }
    }
    return best;
}
} // namespace

server_choice::server_choice(server_choice_options options, std::uint64_t seed)
    : options_{std::move(options)}
    , random_{static_cast<std::minstd_rand::result_type>(seed)}
{
}

server_state* server_choice::choose(const std::vector<server_state*>& candidates,
                                    const generation_request* generation,
                                    const std::vector<std::string>& tried, time_ms now)
{
    const auto* const shared = generation == nullptr ? nullptr : shared_part(*generation);
    const auto home = shared == nullptr ? std::array<const server_state*, home_servers>{}
                                        : homes(candidates, shared->id);
    server_state* best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto* const server : candidates) {
        if (std::find(tried.begin(), tried.end(), server->entry.id) != tried.end()) {
            continue;
        }
        double cost = 0;
        if (generation == nullptr) {
            cost = plain_cost(*server, now);
        } else {
            cost = generation_cost(*server, *generation, now);
            const bool is_home = server == home[0] || server == home[1];
            const auto fresh =
                static_cast<double>(generation->parts.empty() ? generation->prompt_tokens
                                                              : generation->parts.back().tokens);
            if (is_home) {
                cost = std::min(cost, generation_cost(*server, {}, now) +
                                          fresh / options_.read_tokens_per_ms);
                cost += server == home[0] ? 0 : second_home_cost_ms;
            }
        }
        cost += domain_cost(*server);
        cost += server->avoid_until > now ? avoided_cost_ms : 0;
        cost += server->refused_until > now ? refused_cost_ms : 0;
        if (cost < least) {
            least = cost;
            best = server;
        }
    }
    return best;
}

double server_choice::load_of(const server_state& server, time_ms now) const
{
    const auto own = static_cast<double>(server.own_running);
    if (!server.report) {
        return own;
    }
    const auto age = static_cast<double>((now - server.report_at).count());
    const auto life = static_cast<double>(options_.report_life.count());
    const auto weight = std::max(0.0, 1 - age / life);
    const auto reported = static_cast<double>(server.report->running + server.report->waiting) +
                          static_cast<double>(server.sent_since_report);
    return std::max(own, weight * reported + (1 - weight) * own);
}

double server_choice::plain_cost(const server_state& server, time_ms now)
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.entry.slots));
    const auto latency = static_cast<double>(std::max<std::int64_t>(1, server.latency.count()));
    std::uniform_real_distribution<double> jitter{0, 3};
    return latency * (1 + load_of(server, now) / slots) + jitter(random_);
}

double server_choice::generation_cost(const server_state& server,
                                      const generation_request& generation, time_ms now) const
{
    const auto unread = unread_tokens(server, generation, now) + server.own_unread_tokens;
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.entry.slots));
    const auto load = load_of(server, now);
    const auto full = load >= slots ? 1000.0 * (load - slots + 1) : 0.0;
    return static_cast<double>(unread) / options_.read_tokens_per_ms +
           options_.running_cost_ms * load + full;
}

double server_choice::domain_cost(const server_state& server) const
{
    return server.entry.failure_domain == options_.failure_domain ? 0
                                                                  : options_.other_domain_cost_ms;
}

token_count server_choice::unread_tokens(const server_state& server,
                                         const generation_request& generation, time_ms now) const
{
    token_count cached = 0;
    for (std::size_t i = 0; i + 1 < generation.parts.size(); ++i) {
        if (!holds(server, generation.parts[i].id, now)) {
            break;
        }
        cached += generation.parts[i].tokens;
    }
    return std::max<token_count>(0, generation.prompt_tokens - cached);
}

bool server_choice::holds(const server_state& server, std::uint64_t part, time_ms now) const
{
    const auto found = cached_.find(part_at(part, server));
    return found != cached_.end() && now - found->second < options_.cache_life;
}

void server_choice::remember(const server_state& server, const generation_request& generation,
                             time_ms now)
{
    for (std::size_t i = 0; i + 1 < generation.parts.size(); ++i) {
        cached_[part_at(generation.parts[i].id, server)] = now;
    }
    if (cached_.size() > options_.remembered_parts) {
        forget_oldest();
    }
}

void server_choice::forget_oldest()
{
    std::vector<time_ms> uses;
    uses.reserve(cached_.size());
    for (const auto& [part, used] : cached_) {
        uses.push_back(used);
    }
    const auto middle = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    std::erase_if(cached_, [limit = *middle](const auto& item) { return item.second < limit; });
}

} // namespace jujubevalve
