#include "dispatch/prompt_cache_model.h"

#include "core/digest.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace jujubevalve
{

namespace
{
/// Weight of a new value in the moving averages: the last few hundred values count.
constexpr double smoothing = 0.005;
/// Less own load than this is too little to tell the share of the fleet's.
constexpr double min_own_running = 0.01;

std::uint64_t key_of(std::uint64_t block, const server_state& server)
{
    const auto bytes = std::string_view{reinterpret_cast<const char*>(&block), sizeof block};
    return hash64(server.entry.id,
                  hash64(bytes, static_cast<std::uint64_t>(server.entry.incarnation)));
}
} // namespace

prompt_cache_model::prompt_cache_model(prompt_cache_options options)
    : options_{options}
{
}

void prompt_cache_model::set_memory(const std::string& service, token_count tokens)
{
    services_[service].memory = tokens;
}

std::optional<token_count> prompt_cache_model::volume_of(const server_state& server) const
{
    const auto found = volumes_.find(server.entry.id);
    return found == volumes_.end() || found->second.incarnation != server.entry.incarnation
               ? std::nullopt
               : std::optional{found->second.tokens};
}

void prompt_cache_model::remember(const server_state& server, const generation_request& generation)
{
    const auto brought = generation.most() - held_tokens(server, generation);
    if (volumes_.size() > options_.max_blocks) {
        volumes_.clear(); // of servers that are gone, for the most part
        last_uses_.clear();
    }
    auto& volume = volumes_[server.entry.id];
    if (volume.incarnation != server.entry.incarnation) {
        volume = {server.entry.incarnation, 0};
    }
    volume.tokens += std::max<token_count>(0, brought);
    for (std::size_t i = 0; i + 1 < generation.parts.size(); ++i) {
        last_uses_[key_of(generation.parts[i].id, server)] = {volume.tokens, ++uses_};
    }
    if (last_uses_.size() > options_.max_blocks) {
        evict_oldest();
    }
}

token_count prompt_cache_model::held_tokens(const server_state& server,
                                            const generation_request& generation) const
{
    const auto volume = volume_of(server);
    if (!volume) {
        return 0;
    }
    const auto facts = services_.find(server.entry.service);
    const auto memory = facts == services_.end() || facts->second.memory == 0
                            ? options_.default_memory
                            : facts->second.memory;
    const auto room = static_cast<double>(memory) / fleet_factor(server.entry.service);
    token_count held = 0;
    for (std::size_t i = 0; i + 1 < generation.parts.size(); ++i) {
        const auto found = last_uses_.find(key_of(generation.parts[i].id, server));
        if (found == last_uses_.end() ||
            static_cast<double>(*volume - found->second.volume) > room) {
            break;
        }
        held += generation.parts[i].tokens;
    }
    return std::min(held, generation.prompt_tokens);
}

void prompt_cache_model::note_others(const std::string& service, std::int64_t running)
{
    auto& average = services_[service].others_running;
    average += smoothing * (static_cast<double>(std::max<std::int64_t>(0, running)) - average);
}

void prompt_cache_model::note_own(const std::string& service, double running)
{
    auto& average = services_[service].own_running;
    average += smoothing * (running - average);
}

double prompt_cache_model::fleet_factor(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 1
                                    : 1 + found->second.others_running /
                                              std::max(min_own_running, found->second.own_running);
}

// Drops the half that was used least recently.
void prompt_cache_model::evict_oldest()
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(last_uses_.size());
    for (const auto& [key, use] : last_uses_) {
        numbers.push_back(use.number);
    }
    const auto median = numbers.begin() + static_cast<std::ptrdiff_t>(numbers.size() / 2);
    std::nth_element(numbers.begin(), median, numbers.end());
    std::erase_if(last_uses_,
                  [limit = *median](const auto& item) { return item.second.number < limit; });
}

} // namespace jujubevalve
