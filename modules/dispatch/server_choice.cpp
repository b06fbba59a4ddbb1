#include "dispatch/server_choice.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Number of servers, by highest rendezvous weight, that are assumed to cache the shared blocks.
constexpr std::size_t preferred_server_count = 2;
/// Cost of an avoided server, so high that it is chosen only if all candidates are avoided.
constexpr double avoided_cost_ms = 1e7;
constexpr double refused_cost_ms = 1e5;
/// Additional cost of the second preferred server, so that blocks collect at the first.
constexpr double second_preferred_cost_ms = 25;

std::uint64_t block_server_hash(std::uint64_t block_id, const server_state& server)
{
    const auto bytes = std::string_view{reinterpret_cast<const char*>(&block_id), sizeof block_id};
    return hash64(server.entry.id, hash64(bytes));
}

/// Returns the last block that other requests share: the one before the request's own.
const prompt_block* last_shared_block(const generation_request& generation)
{
    const auto count = generation.parts.size();
    return count == 0 ? nullptr : &generation.parts[count >= 2 ? count - 2 : 0];
}

/// Returns the mean slowness of the servers whose pace is known, for those whose is not.
double mean_slowness(const std::vector<server_state*>& servers)
{
    double sum = 0;
    double count = 0;
    for (const auto* const server : servers) {
        if (server->pace.is_known()) {
            sum += server->pace.slowness(1);
            ++count;
        }
    }
    return count > 0 ? sum / count : 1;
}

/// Returns the weight of the server for a block in weighted rendezvous hashing: a server gets
/// blocks in proportion to how fast it works.
double rendezvous_weight(std::uint64_t block_id, const server_state& server, double slowness)
{
    // In (0, 1), from the bits of the hash that fit into a double.
    constexpr int surplus_bits = 11;
    const auto uniform =
        std::ldexp(static_cast<double>(block_server_hash(block_id, server) >> surplus_bits) + 0.5,
                   surplus_bits - 64);
    return -1 / (slowness * std::log(uniform));
}

std::array<const server_state*, preferred_server_count>
preferred_servers(const std::vector<server_state*>& candidates, std::uint64_t block_id)
{
    const auto expected_slowness = mean_slowness(candidates);
    std::array<const server_state*, preferred_server_count> best{};
    std::array<double, preferred_server_count> weights{};
    for (const auto* server : candidates) {
        auto weight =
            rendezvous_weight(block_id, *server, server->pace.slowness(expected_slowness));
        const auto* contender = server;
        for (std::size_t i = 0; i < preferred_server_count; ++i) {
            if (best.at(i) == nullptr || weight > weights.at(i)) {
                std::swap(best.at(i), contender);
                std::swap(weights.at(i), weight);
                if (contender == nullptr) {
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
    , cache_{options_.cache}
{
}

server_state* server_choice::choose(const std::vector<server_state*>& candidates,
                                    const generation_request* generation,
                                    const std::vector<std::string>& tried, time_ms now)
{
    const auto* const shared_block =
        generation == nullptr ? nullptr : last_shared_block(*generation);
    const auto preferred = shared_block == nullptr
                               ? std::array<const server_state*, preferred_server_count>{}
                               : preferred_servers(candidates, shared_block->id);
    if (generation != nullptr && !candidates.empty()) {
        note_own_load(candidates);
    }
    server_state* best = nullptr;
    double lowest_cost = std::numeric_limits<double>::max();
    for (auto* const server : candidates) {
        if (std::find(tried.begin(), tried.end(), server->entry.id) != tried.end()) {
            continue;
        }
        double cost = 0;
        if (generation == nullptr) {
            cost = plain_cost(*server, now);
        } else {
            auto prefill_tokens = estimate_prefill_tokens(*server, *generation);
            const bool is_preferred = server == preferred[0] || server == preferred[1];
            if (is_preferred) {
                prefill_tokens = std::min(prefill_tokens, generation->parts.back().tokens);
            }
            cost = generation_cost(*server, prefill_tokens, now);
            cost += is_preferred && server != preferred[0] ? second_preferred_cost_ms : 0;
        }
        cost += domain_cost(*server);
        cost += server->avoid_until > now ? avoided_cost_ms : 0;
        cost += server->full_until > now ? refused_cost_ms : 0;
        if (cost < lowest_cost) {
            lowest_cost = cost;
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
    const auto otherwise = std::max(own, server.pace.average_load());
    const auto age = static_cast<double>((now - server.report_received_at).count());
    const auto max_age = static_cast<double>(options_.load_report_max_age.count());
    const auto weight = std::max(0.0, 1 - age / max_age);
    const auto reported = static_cast<double>(server.report->running + server.report->waiting) +
                          static_cast<double>(server.sent_since_report);
    return std::max(own, weight * reported + (1 - weight) * otherwise);
}

double server_choice::plain_cost(const server_state& server, time_ms now)
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.entry.slots));
    const auto latency = static_cast<double>(std::max<std::int64_t>(1, server.latency.count()));
    std::uniform_real_distribution<double> jitter{0, 3};
    return latency * (1 + load_of(server, now) / slots) + jitter(random_);
}

double server_choice::generation_cost(const server_state& server, token_count prefill_tokens,
                                      time_ms now) const
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.entry.slots));
    const auto load = load_of(server, now);
    const auto overload_cost = load >= slots ? 1000.0 * (load - slots + 1) : 0.0;
    return static_cast<double>(prefill_tokens + server.own_prefill_tokens) /
               options_.prefill_tokens_per_ms +
           expected_delay_ms(server, load) + overload_cost;
}

double server_choice::expected_delay_ms(const server_state& server, double load) const
{
    return server.pace.is_known() ? options_.delay_per_average_request_ms *
                                        server.pace.slowness(1) * server.pace.average_load()
                                  : options_.cost_per_running_request_ms * load;
}

double server_choice::domain_cost(const server_state& server) const
{
    return server.entry.failure_domain == options_.failure_domain ? 0
                                                                  : options_.cross_domain_cost_ms;
}

token_count server_choice::estimate_prefill_tokens(const server_state& server,
                                                   const generation_request& generation) const
{
    return std::max<token_count>(0,
                                 generation.prompt_tokens - cache_.held_tokens(server, generation));
}

void server_choice::remember(const server_state& server, const generation_request& generation)
{
    cache_.remember(server, generation);
}

void server_choice::note_own_load(const std::vector<server_state*>& servers)
{
    double running = 0;
    for (const auto* const server : servers) {
        running += static_cast<double>(server->own_running);
    }
    cache_.note_own(servers.front()->entry.service, running / static_cast<double>(servers.size()));
}

void server_choice::note_report(const server_state& server)
{
    if (server.report) {
        cache_.note_others(server.entry.service, server.report->running - server.own_running);
    }
}

void server_choice::set_engines(const std::vector<service_options>& services)
{
    for (const auto& service : services) {
        if (service.engine) {
            cache_.set_memory(service.name, service.engine->memory_tokens);
        }
    }
}

} // namespace jujubevalve
