#include "gateway/front_server.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Leaves descriptors for connections to servers and the store.
const std::size_t most_connections = event_loop::capacity() * 6 / 10;
} // namespace

front_server::front_server(call_context& context, local_answer local, std::function<bool()> closing)
    : context_{context}
    , local_{std::move(local)}
    , closing_{std::move(closing)}
    , listener_{context.loop, [this](int descriptor) { accept(descriptor); }}
{
}

status front_server::open(const std::string& address)
{
    return listener_.open(address);
}

void front_server::accept(int descriptor)
{
    if (connections_.size() >= most_connections) {
        context_.metrics.count("connections_refused");
        ::close(descriptor);
        return;
    }
    const auto id = ++last_id_;
    connections_.emplace(
        id, std::make_unique<front_connection>(context_, descriptor, local_, closing_,
                                               [this, id] { connections_.erase(id); }));
}

void front_server::stop_accepting()
{
    listener_.close();
}

void front_server::close_idle()
{
    for (auto& [id, connection] : connections_) {
        connection->close_if_idle();
    }
}

bool front_server::has_requests() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& item) { return !item.second->is_idle(); });
}

} // namespace jujubevalve
