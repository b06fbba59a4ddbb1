#include "gateway/server_crash_detector.h"

#include "net/tcp_stream.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// The losses of one crash arrive within this time.
constexpr time_ms collection_time{20};
/// A host that answers at all refuses a connection within a round trip.
constexpr time_ms probe_timeout{300};
/// A crashed server is remembered this long for losses that are noticed late.
constexpr time_ms crash_memory{5000};
} // namespace

/// Opens a connection to see whether anybody listens at the address.
class server_crash_detector::connect_probe final : private stream_listener
{
public:
    connect_probe(event_loop& loop, const std::string& address,
                  std::function<void(verdict)> on_outcome)
        : loop_{loop}
        , on_outcome_{std::move(on_outcome)}
        , stream_{loop, *this, address, liveness_limits{}}
        , timeout_{loop.schedule(probe_timeout, [this] {
            timeout_ = 0;
            end(verdict::unknown);
        })}
    {
    }
    connect_probe(const connect_probe&) = delete;
    connect_probe& operator=(const connect_probe&) = delete;
    ~connect_probe() override { loop_.cancel(timeout_); }

private:
    void on_connected() override { end(verdict::accepted); }
    void on_received(std::string_view /*bytes*/) override { end(verdict::accepted); }
    void on_ended(stream_end how) override
    {
        end(how == stream_end::connect_failed ? verdict::refused : verdict::accepted);
    }

    void end(verdict outcome)
    {
        stream_.close();
        if (const auto callback = std::exchange(on_outcome_, nullptr)) {
            callback(outcome);
        }
    }

    event_loop& loop_;
    std::function<void(verdict)> on_outcome_;
    tcp_stream stream_;
    timer_id timeout_{0};
};

server_crash_detector::server_crash_detector(event_loop& loop, crash_handler on_crash)
    : loop_{loop}
    , on_crash_{std::move(on_crash)}
{
}

server_crash_detector::~server_crash_detector() = default;

void server_crash_detector::connection_lost(const server_entry& server,
                                            const std::optional<shared_prompt>& suspect)
{
    if (server.leaving) {
        return;
    }
    forget_old();
    auto& found = suspects_[server.id];
    const bool is_new =
        found.losses.server.empty() || found.losses.incarnation != server.incarnation;
    if (is_new) {
        found.losses = {server.id, server.incarnation, loop_.now(), 0, {}};
        found.address = server.address;
        found.is_crashed = false;
    }
    found.last_loss_at = loop_.now();
    ++found.losses.lost_requests;
    if (suspect) {
        found.losses.suspects.push_back(*suspect);
    }
    if (found.is_crashed) {
        report(found);
    } else if (is_new) {
        loop_.schedule(collection_time, [this, id = server.id] { start_probe(id); });
    }
}

void server_crash_detector::start_probe(const std::string& server)
{
    const auto found = suspects_.find(server);
    if (found != suspects_.end() && !found->second.probe) {
        found->second.probe = std::make_unique<connect_probe>(
            loop_, found->second.address,
            [this, server](verdict outcome) { probe_ended(server, outcome); });
    }
}

void server_crash_detector::probe_ended(const std::string& server, verdict outcome)
{
    const auto found = suspects_.find(server);
    if (found == suspects_.end()) {
        return;
    }
    // Deferred, since the probe is on the stack.
    loop_.defer([old = std::shared_ptr<connect_probe>{std::move(found->second.probe)}] {});
    if (outcome != verdict::refused) {
        suspects_.erase(found);
        return;
    }
    found->second.is_crashed = true;
    report(found->second);
}

void server_crash_detector::report(suspect& crashed)
{
    const auto losses = crashed.losses;
    crashed.losses.lost_requests = 0;
    crashed.losses.suspects.clear();
    on_crash_(losses);
}

void server_crash_detector::forget_old()
{
    std::erase_if(suspects_, [now = loop_.now()](const auto& entry) {
        return entry.second.is_crashed && now - entry.second.last_loss_at >= crash_memory;
    });
}

} // namespace jujubevalve
