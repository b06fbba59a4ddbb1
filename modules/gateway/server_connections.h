#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Pool of keep-alive connections to backend servers.
class server_connections
{
public:
    explicit server_connections(event_loop& loop);

    /// Returns a connection to the address: an idle one that has been idle for less than `max_idle`
    /// and that the server should still keep open, or a new one. Never one that has carried a
    /// request with the same id: a late copy of the response to that one has the same id, too.
    [[nodiscard]] std::unique_ptr<http_exchange> take(const std::string& address, time_ms max_idle,
                                                      const std::string& request_id);

    /// Returns a connection to the pool. Closes it if it is not reusable or the pool is full.
    void give_back(const std::string& address, std::unique_ptr<http_exchange> connection);

    /// Closes connections whose idle timeout has passed. Call it about once a second.
    void close_idle();

    [[nodiscard]] std::int64_t opened() const { return opened_; }

private:
    [[nodiscard]] std::unique_ptr<http_exchange> take_idle(const std::string& address,
                                                           time_ms max_idle, std::uint64_t key);
    [[nodiscard]] time_ms idle_timeout(const http_exchange& connection) const;

    event_loop& loop_;
    std::map<std::string, std::vector<std::unique_ptr<http_exchange>>> idle_connections_;
    std::int64_t opened_{0};
};

} // namespace jujubevalve
