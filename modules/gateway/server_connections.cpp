#include "gateway/server_connections.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

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
/// A connection is closed after this many requests, as it remembers the ids of all.
constexpr int max_requests_per_connection = 1000;
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
                                                        time_ms max_idle,
                                                        const std::string& request_id)
{
    const auto key = hash64(request_id);
    auto connection = take_idle(address, max_idle, key);
    if (!connection) {
        ++opened_;
        // Detects a server that went away without a reset.
        constexpr liveness_limits limits{time_ms{2000}, time_ms{2000}, 2};
        connection = std::make_unique<http_exchange>(loop_, address, limits);
    }
    connection->mark_request(key);
    return connection;
}

// The connection used last first, so that the others reach their idle timeout.
std::unique_ptr<http_exchange> server_connections::take_idle(const std::string& address,
                                                             time_ms max_idle, std::uint64_t key)
{
    const auto found = idle_connections_.find(address);
    if (found == idle_connections_.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    for (auto i = kept.size(); i-- > 0;) {
        const auto limit = std::min(max_idle, idle_timeout(*kept[i]));
        const bool is_usable =
            kept[i]->is_reusable() && loop_.now() - kept[i]->idle_since() < limit;
        if (is_usable && kept[i]->has_carried(key)) {
            continue;
        }
        auto connection = std::move(kept[i]);
        kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(i));
        if (is_usable) {
            return connection;
        }
    }
    return nullptr;
}

void server_connections::give_back(const std::string& address,
                                   std::unique_ptr<http_exchange> connection)
{
    auto& kept = idle_connections_[address];
    if (connection->is_reusable() && kept.size() < max_idle_per_server &&
        connection->request_count() < max_requests_per_connection) {
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
