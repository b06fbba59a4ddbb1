#pragma once

#include "router/router_settings.h"

#include <memory>
#include <string>

namespace jujubevalve
{

/// One router process: caller API, peer protocol, platform client and their timers.
class router
{
public:
    /// Binds both addresses and starts. Throws std::runtime_error if an address is in use.
    explicit router(const router_settings& settings);

    /// Stops at once; requests in flight are cut. Call `drain` first for a graceful end.
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Graceful shutdown: announces it, refuses new work, waits until every request has ended and
    /// every response was sent, writes the last segment and the final records and returns the
    /// grants. Returns false if the platform did not take them before `limit`; they stay for
    /// recovery then.
    bool drain(time_ms limit);

    /// Whether others have closed this incarnation or a higher term is in force; the process must
    /// end.
    [[nodiscard]] bool must_stop() const;

    [[nodiscard]] std::string http_address() const;
    [[nodiscard]] std::string peer_address() const;
    [[nodiscard]] std::string incarnation() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
