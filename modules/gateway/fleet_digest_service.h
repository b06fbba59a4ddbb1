#pragma once

#include "dispatch/fleet_digest.h"
#include "gateway/decision_log.h"
#include "gateway/table_follower.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace jujubevalve
{

/// Follows the digest of the fleet in the store, and writes it if this instance is a publisher.
class fleet_digest_service
{
public:
    struct handlers {
        /// A server was added or changed (content) or is gone (nothing).
        std::function<void(const std::string& id, const std::optional<std::string>& content)>
            server_changed;
        /// The listed instances or a status have changed.
        std::function<void()> changed;
        /// Called after each call to the store with whether it responded.
        std::function<void(bool reachable)> call_completed;
    };

    fleet_digest_service(event_loop& loop, store_client& store, decision_log& log,
                         const std::string& instance, handlers callbacks);

    /// Starts to follow the digest; does nothing if it is followed already.
    void follow();
    void restart();
    void resume();
    /// Reads the digest again: the store has lost rows, and gives out versions again.
    void begin_store_era();

    /// Returns whether the digest has been read and shows the fleet as it was at most `max_age`
    /// ago.
    [[nodiscard]] bool is_fresh(time_ms max_age) const;

    /// Returns the latest status; null if there is none.
    [[nodiscard]] const digest_status* latest_status() const;

    /// Returns the servers and instances that the digest shows, by id or name.
    [[nodiscard]] const std::map<std::string, std::string>& servers() const { return servers_; }
    [[nodiscard]] const std::map<std::string, std::string>& instances() const { return instances_; }

    /// Brings the digest up to date with the sources. Does nothing while a write is in flight or
    /// the last one is recent.
    void publish(const std::vector<digest_source>& sources, const digest_status& status);

    /// Prefixes of the digest's keys.
    static const std::string server_prefix;
    static const std::string instance_prefix;

private:
    void apply(const std::vector<stored_row>& rows);

    event_loop& loop_;
    store_client& store_;
    decision_log& log_;
    std::string status_key_;
    handlers handlers_;
    digest_publisher publisher_;
    table_follower rows_;
    bool is_followed_{false};
    std::map<std::string, std::string> servers_;
    std::map<std::string, std::string> instances_;
    std::map<std::string, digest_status> statuses_; ///< by publisher
    bool write_in_flight_{false};
    time_ms next_status_{};
};

} // namespace jujubevalve
