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

/// One accepted connection. Used only in the reactor thread.
class server_connection : public ACE_Event_Handler,
                          public std::enable_shared_from_this<server_connection>
{
public:
    /// References and callbacks that a connection gets from its server.
    struct context {
        const peer_options& options;
        counters& counts;
        traffic_counts& traffic;
        reactor_loop& loop;
        /// Queues a message for its handler; returns false if the queue is full.
        std::function<bool(const std::shared_ptr<server_connection>&, const std::string&)> dispatch;
        /// Called once when the connection closes.
        std::function<void(ACE_HANDLE)> on_closed;
    };

    server_connection(const context& server, const ACE_SOCK_Stream& stream);
    ~server_connection() override;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Starts reading; returns false if the reactor rejects the registration.
    bool start();

    /// Sends an answer, buffering what the socket does not accept. Does nothing after a close.
    void send(std::string_view message, std::string_view payload);

    /// Closes the connection.
    void close();

    /// Closes the connection if it received no frame within idle_timeout, or no hello within
    /// hello_timeout.
    void close_if_idle(time_ms now);

    /// Returns the peer that opened the connection, from its hello.
    [[nodiscard]] const peer_caller& caller() const { return caller_; }

private:
    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;
    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }

    bool process_frames();
    bool process_frame(const std::string& payload);
    bool process_hello(const std::string& payload);
    bool flush();

    context server_;
    ACE_SOCK_Stream stream_;
    frame_codec codec_;
    peer_caller caller_;
    std::string send_buffer_;
    time_ms last_frame_{};
    bool hello_received_{false};
    bool hello_refused_{false}; ///< the hello was refused; closes once the reply is sent
    bool closed_{false};
};

} // namespace jujubevalve
