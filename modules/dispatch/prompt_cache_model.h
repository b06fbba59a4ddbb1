#pragma once

#include "core/time_ms.h"
#include "dispatch/call_request.h"
#include "dispatch/server_directory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace jujubevalve
{

/// Settings of a prompt_cache_model.
struct prompt_cache_options {
    std::size_t max_blocks{16'384};      ///< pairs of prompt block and server; about 64 bytes each
    token_count default_memory{300'000}; ///< of an engine whose configuration names none
};

/// What this instance knows of the prompt blocks that each server holds, from the requests that it
/// sent there. An engine evicts the least recently used blocks when others need their memory, so a
/// block counts as evicted once as many tokens have gone to the server after its last use as the
/// memory holds. A server that restarts holds nothing.
class prompt_cache_model
{
public:
    explicit prompt_cache_model(prompt_cache_options options = {});

    /// Sets the memory of a service's engines in tokens; 0 if the configuration names none.
    void set_memory(const std::string& service, token_count tokens);

    /// Records that the request's blocks are in the server's memory from now on.
    void remember(const server_state& server, const generation_request& generation);

    /// Returns how many tokens at the beginning of the prompt the server holds from own requests.
    [[nodiscard]] token_count held_tokens(const server_state& server,
                                          const generation_request& generation) const;

    /// Records how many requests of other instances a server reports as running there: they need
    /// memory, too.
    void note_others(const std::string& service, std::int64_t running);
    /// Records how many requests of this instance run at the servers of a service, on average.
    void note_own(const std::string& service, double running);

    /// Returns how many tokens go to a service's servers for each token of this instance.
    [[nodiscard]] double fleet_factor(const std::string& service) const;

    [[nodiscard]] std::size_t size() const { return last_uses_.size(); }

private:
    struct service_facts {
        token_count memory{0};
        double others_running{0}; ///< moving averages, of one server
        double own_running{0};
    };

    /// Tokens that own requests have brought to a server since it started.
    struct server_volume {
        std::int64_t incarnation{0};
        token_count tokens{0};
    };

    struct last_use {
        token_count volume{0};   ///< of the server at that time
        std::uint64_t number{0}; ///< orders the uses of all blocks
    };

    /// Returns nothing if no own request has gone to this incarnation.
    [[nodiscard]] std::optional<token_count> volume_of(const server_state& server) const;
    void evict_oldest();

    prompt_cache_options options_;
    std::unordered_map<std::string, service_facts> services_;
    std::unordered_map<std::string, server_volume> volumes_; ///< by server id
    std::unordered_map<std::uint64_t, last_use> last_uses_;  ///< by block and incarnation
    std::uint64_t uses_{0};
};

} // namespace jujubevalve
