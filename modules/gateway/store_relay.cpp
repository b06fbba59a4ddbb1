#include "gateway/store_relay.h"

#include "net/tcp_stream.h"

#include <unistd.h>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Max relayed connections: a few for each of ten instances that are cut off.
constexpr std::size_t max_links = 64;
/// Unsent bytes in one direction beyond which the sender is not read until they are sent.
constexpr std::size_t max_pending_bytes = 64 * 1024;
} // namespace

/// A connection from another instance, paired with its connection to the store.
class store_relay::link
{
public:
    link(event_loop& loop, int descriptor, const std::string& store,
         std::function<void()> on_link_ended)
        : on_link_ended_{std::move(on_link_ended)}
        , to_store_{*this}
        , to_instance_{*this}
        , instance_{loop, to_store_, descriptor, liveness_limits{}}
        , store_{loop, to_instance_, store, liveness_limits{}}
    {
        to_store_.source = &instance_;
        to_store_.target = &store_;
        to_instance_.source = &store_;
        to_instance_.target = &instance_;
    }

private:
    /// Forwards bytes received on one connection to the other.
    class forwarder final : public stream_listener
    {
    public:
        explicit forwarder(link& owner)
            : owner_{owner}
        {
        }
        void on_received(std::string_view bytes) override
        {
            target->write(bytes);
            if (target->pending() > max_pending_bytes) {
                source->set_reading(false);
            }
        }
        void on_drained() override { target->set_reading(true); }
        void on_ended(stream_end /*how*/) override { owner_.end(); }

        tcp_stream* source{nullptr};
        tcp_stream* target{nullptr};

    private:
        link& owner_;
    };

    void end()
    {
        instance_.close();
        store_.close();
        if (const auto on_link_ended = std::exchange(on_link_ended_, nullptr)) {
            on_link_ended();
        }
    }

    std::function<void()> on_link_ended_;
    forwarder to_store_;
    forwarder to_instance_;
    tcp_stream instance_;
    tcp_stream store_;
};

store_relay::store_relay(event_loop& loop, std::string store, std::function<bool()> reaches_store)
    : loop_{loop}
    , store_{std::move(store)}
    , reaches_store_{std::move(reaches_store)}
    , listener_{loop, [this](int descriptor) { accept(descriptor); }}
{
}

store_relay::~store_relay() = default;

status store_relay::open(const std::string& address)
{
    return listener_.open(address);
}

void store_relay::accept(int descriptor)
{
    if (!reaches_store_() || links_.size() >= max_links) {
        ::close(descriptor);
        return;
    }
    const auto id = ++last_id_;
    links_.emplace(id, std::make_unique<link>(loop_, descriptor, store_, [this, id] {
                       // Deferred, since the stream that ended is still on the stack.
                       loop_.defer([this, id] { links_.erase(id); });
                   }));
}

} // namespace jujubevalve
