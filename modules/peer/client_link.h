#pragma once

#include "core/time_ms.h"
#include "peer/frame_codec.h"
#include "peer/peer_options.h"
#include "peer/reactor_loop.h"
#include "peer/traffic_counts.h"

#include <ace/SOCK_Stream.h>
#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jujubevalve
{

/// One connection to a peer. Calling threads connect and send; the reactor thread reads and passes
/// each answer to the call that waits for it.
class client_link : public ACE_Event_Handler, public std::enable_shared_from_this<client_link>
{
public:
    /// The payload of an answer; nothing if the connection was lost.
    using answer = std::optional<std::string>;

    client_link(const peer_options& options, counters& counts, traffic_counts& traffic,
                reactor_loop& loop);
    ~client_link() override;
    client_link(const client_link&) = delete;
    client_link& operator=(const client_link&) = delete;

    /// Connects, exchanges hellos and starts reading. Blocks until the deadline (steady clock).
    status open(const std::string& address, time_ms deadline);

    /// Registers a call and returns the future that receives its answer.
    std::future<answer> register_call(std::int32_t call_id);

    /// Sends a payload. Fails if the complete frame was not passed to the socket.
    status send(const char* message, std::string_view payload, time_ms deadline);

    /// Unregisters a call that timed out or could not be sent. The connection accepts no new calls
    /// and closes when its other calls have ended.
    void abandon_call(std::int32_t call_id);

    /// Closes the connection; pending calls get no answer.
    void close();

    /// Returns true if new calls may use the connection.
    [[nodiscard]] bool usable() const { return usable_; }

private:
    int handle_input(ACE_HANDLE handle) override;
    int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;
    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }

    status exchange_hello(time_ms deadline);
    result<std::string> receive_hello(time_ms deadline);
    bool write(std::string_view bytes, time_ms deadline);
    bool process_frames();
    void deliver(std::string payload);
    void close_in_reactor();

    const peer_options& options_;
    counters& counts_;
    traffic_counts& traffic_;
    reactor_loop& loop_;
    ACE_SOCK_Stream stream_;
    frame_codec codec_;
    std::shared_ptr<client_link> registered_; ///< keeps this object alive while the reactor uses it
    std::timed_mutex send_mutex_; ///< held while a frame is numbered and sent, to keep the order
    std::mutex mutex_;            ///< guards pending_ and closed_
    std::map<std::int32_t, std::promise<answer>> pending_;
    bool closed_{false};
    std::atomic<bool> usable_{false};
};

} // namespace jujubevalve
