#pragma once

#include "dispatch/entry_admission.h"
#include "gateway/front_connection.h"
#include "net/tcp_listener.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace jujubevalve
{

/// Listens at one address and owns the connections accepted there.
class front_server
{
public:
    /// `handler` handles requests that this instance answers itself; `close_after_response` returns
    /// whether connections close after their current response.
    front_server(call_context& context, local_handler handler,
                 std::function<bool()> close_after_response);

    /// Lets requests in only as fast as this machine can handle them. Call it before open().
    void limit_entry(entry_admission& admission);

    /// Fails with `invalid_setting`.
    [[nodiscard]] status open(const std::string& address);

    /// Stops accepting connections; open ones stay open.
    void stop_accepting();

    /// Closes connections that have no request in progress.
    void close_idle();

    /// Ends all requests in progress because the process ends.
    void process_ends();

    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    [[nodiscard]] bool has_requests() const;

private:
    void accept(int descriptor);
    /// Returns how many connections may be accepted now.
    [[nodiscard]] int entry_room(int most);

    call_context& context_;
    local_handler local_handler_;
    std::function<bool()> close_after_response_;
    tcp_listener listener_;
    entry_admission* admission_{nullptr}; ///< null: no limit
    time_ms entry_limit_logged_at_{};
    std::unordered_map<std::uint64_t, std::unique_ptr<front_connection>> connections_;
    std::uint64_t last_id_{0};
};

} // namespace jujubevalve
