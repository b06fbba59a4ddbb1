#include "gateway/peer_link.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// A peer that does not read is disconnected beyond this many unsent bytes.
constexpr std::size_t max_unsent_bytes = 1024 * 1024;
} // namespace

peer_link::peer_link(event_loop& loop, const std::string& address, handlers callbacks)
    : handlers_{std::move(callbacks)}
    , stream_{loop, static_cast<stream_listener&>(*this), address, liveness_limits{}}
{
}

peer_link::peer_link(event_loop& loop, int descriptor, handlers callbacks)
    : handlers_{std::move(callbacks)}
    , stream_{loop, static_cast<stream_listener&>(*this), descriptor, liveness_limits{}}
{
}

void peer_link::send(const peer_message& message)
{
    stream_.write(encode_peer_message(message));
    if (stream_.pending() > max_unsent_bytes) {
        stream_.close();
        handlers_.ended();
    }
}

void peer_link::close()
{
    stream_.close();
}

void peer_link::on_received(std::string_view bytes)
{
    reader_.add(bytes);
    while (stream_.is_open()) {
        const auto message = reader_.next();
        if (!message) {
            stream_.close();
            handlers_.ended();
            return;
        }
        if (!message->has_value()) {
            return;
        }
        handlers_.received(**message);
    }
}

void peer_link::on_ended(stream_end /*how*/)
{
    handlers_.ended();
}

} // namespace jujubevalve
