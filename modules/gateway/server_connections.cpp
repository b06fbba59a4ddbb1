#include "gateway/server_connections.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Max idle connections kept per server.
constexpr std::size_t max_idle_per_server = 16;
/// Idle timeout for servers that do not announce one.
constexpr time_ms default_idle_timeout{4000};
/// Connections are dropped this much earlier than the server closes them, so that a request reaches
/// the server in time.
constexpr time_ms idle_margin{400};
} // namespace

server_connections::server_connections(event_loop& loop)
    : loop_{loop}
{
}

time_ms server_connections::idle_timeout(const http_exchange& connection) const
{
    const auto stated = connection.peer_idle_limit();
    return (stated.count() == 0 ? default_idle_timeout : stated) - idle_margin;
}

std::unique_ptr<http_exchange> server_connections::take(const std::string& address,
                                                        time_ms max_idle)
{
    const auto found = idle_connections_.find(address);
    while (found != idle_connections_.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        const auto limit = std::min(max_idle, idle_timeout(*connection));
        if (connection->is_reusable() && loop_.now() - connection->idle_since() < limit) {
            return connection;
        }
    }
    ++opened_;
    // Detects a server that went away without a reset.
    constexpr liveness_limits limits{time_ms{2000}, time_ms{2000}, 2};
    return std::make_unique<http_exchange>(loop_, address, limits);
}

void server_connections::give_back(const std::string& address,
                                   std::unique_ptr<http_exchange> connection)
{
    auto& kept = idle_connections_[address];
    if (connection->is_reusable() && kept.size() < max_idle_per_server) {
        kept.push_back(std::move(connection));
    }
}

void server_connections::close_idle()
{
    for (auto& [address, kept] : idle_connections_) {
        std::erase_if(kept, [this](const auto& connection) {
            return !connection->is_reusable() ||
                   loop_.now() - connection->idle_since() >= idle_timeout(*connection);
        });
    }
    std::erase_if(idle_connections_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace jujubevalve
