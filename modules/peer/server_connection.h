#pragma once

#include "core/clock.h"
#include "peer/frame_codec.h"
#include "peer/peer_handler.h"
#include "peer/peer_options.h"
#include "peer/reactor_loop.h"
#include "peer/traffic_counts.h"

#include <ace/SOCK_Stream.h>
#include <functional>
#include <memory>
#include <string>

namespace jujubevalve
{

/// One accepted connection. Used only in the reactor's thread.
class server_connection : public ACE_Event_Handler,
                          public std::enable_shared_from_this<server_connection>
{
public:
    /// What a connection needs from its server.
    struct context {
        const peer_options& options;
        counters& counts;
        traffic_counts& traffic;
        reactor_loop& loop;
        /// Starts the call of a message; false if there is no room for it.
        std::function<bool(const std::shared_ptr<server_connection>&, const std::string&)> dispatch;
        /// Called once when the connection has been closed.
        std::function<void(ACE_HANDLE)> on_closed;
    };

    server_connection(const context& server, const ACE_SOCK_Stream& stream);
    ~server_connection() override;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Starts to read; false if the reactor refuses.
    bool start();

    /// Queues an answer. Does nothing if the connection has been closed.
    void send(std::string_view message, std::string_view payload);

    /// Closes the connection.
    void close();

    /// Closes the connection if it has moved no frame for too long.
    void close_if_idle(time_ms now);

    /// Who opened the connection, as its hello said.
    [[nodiscard]] const peer_caller& caller() const { return caller_; }

private:
    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;
    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }

    bool take_frames();
    bool take_frame(const std::string& payload);
    bool take_hello(const std::string& payload);
    bool flush();

    context server_;
    ACE_SOCK_Stream stream_;
    frame_codec codec_;
    peer_caller caller_;
    std::string out_;
    time_ms last_frame_{};
    bool greeted_{false};
    bool refused_{false}; ///< closes once the refusal has been sent
    bool closed_{false};
};

} // namespace jujubevalve
