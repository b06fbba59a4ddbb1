#include "gateway/front_server.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Time between two log lines of an instance that cannot let all requests in.
constexpr time_ms entry_limit_log_interval{1000};
/// Share of the file descriptors for callers; the rest is left for connections to backend servers
/// and the store.
const std::size_t max_connections = event_loop::capacity() * 6 / 10;
} // namespace

front_server::front_server(call_context& context, local_handler handler,
                           std::function<bool()> close_after_response)
    : context_{context}
    , local_handler_{std::move(handler)}
    , close_after_response_{std::move(close_after_response)}
    , listener_{context.loop, [this](int descriptor) { accept(descriptor); }}
{
}

void front_server::limit_entry(entry_admission& admission)
{
    admission_ = &admission;
    listener_.limit([this](int most) { return entry_room(most); }, admission.backlog());
}

int front_server::entry_room(int most)
{
    const auto now = context_.loop.now();
    const int room = admission_->room(most, now);
    if (room == 0) {
        context_.metrics.count("entry_pauses");
        if (now - entry_limit_logged_at_ >= entry_limit_log_interval) {
            entry_limit_logged_at_ = now;
            context_.log.write("entry_limited",
                               log_fields{}
                                   .add("bytes_per_request", admission_->bytes_per_request())
                                   .add("connections", connections_.size()),
                               now);
        }
        context_.loop.schedule(admission_->room_expected_in(now), [this] { listener_.resume(); });
    }
    return room;
}

status front_server::open(const std::string& address)
{
    return listener_.open(address);
}

void front_server::accept(int descriptor)
{
    if (connections_.size() >= max_connections) {
        context_.metrics.count("connections_refused");
        ::close(descriptor);
        return;
    }
    if (admission_ != nullptr) {
        admission_->admitted(context_.loop.now());
    }
    const auto id = ++last_id_;
    connections_.emplace(id, std::make_unique<front_connection>(
                                 context_, descriptor, local_handler_, close_after_response_,
                                 admission_, [this, id] { connections_.erase(id); }));
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

void front_server::process_ends()
{
    for (auto& [id, connection] : connections_) {
        connection->process_ends();
    }
}

bool front_server::has_requests() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return !entry.second->is_idle(); });
}

} // namespace jujubevalve
