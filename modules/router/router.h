#pragma once

#include "router/router_settings.h"

#include <memory>
#include <string>

namespace jujubevalve
{

/// One router process: caller API, peer protocol, platform client and periodic tasks.
class router
{
public:
    /// Binds the caller and peer addresses and starts. Throws std::runtime_error if an address is
    /// in use.
    explicit router(const router_settings& settings);

    /// Stops immediately; connections with requests in flight are closed. Call `drain` first for a
    /// graceful shutdown.
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Shuts down gracefully: announces the drain, refuses new work, waits until all requests have
    /// ended and all responses are sent, writes the last segment and the final records, and returns
    /// the grants. Returns false if the platform did not accept them within `limit`; they are then
    /// left for recovery.
    bool drain(time_ms limit);

    /// Returns whether the process must exit, because another instance has closed this incarnation
    /// or a higher term is in force.
    [[nodiscard]] bool must_stop() const;

    [[nodiscard]] std::string http_address() const;
    [[nodiscard]] std::string peer_address() const;
    [[nodiscard]] std::string incarnation() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
