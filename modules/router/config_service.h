#pragma once

#include "config/config.h"
#include "config/config_history.h"
#include "config/config_loader.h"
#include "membership/membership.h"
#include "peer/peer.h"
#include "routing/route_matcher.h"
#include "storage/http_platform.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Keeps the configuration in force up to date from the platform and from peers. The version never
/// decreases. Thread-safe.
class config_service
{
public:
    using listener = std::function<void(const config_snapshot&)>;

    /// `on_adopted` is called after each new version; calls do not overlap.
    config_service(std::int64_t term, http_platform& platform, peer_client& peers,
                   time_ms peer_timeout, counters& counts, listener on_adopted);

    /// Loads newer versions from the platform. Returns false if it did not answer or the tables
    /// could not be loaded.
    bool poll_platform();

    /// Fetches the newest configuration that any of the peers has, for a start while the platform
    /// is unreachable.
    void fetch_from_peers(const std::vector<std::string>& addresses);

    /// Fetches the missing log entries, or else all tables, from a peer with a higher version.
    void fetch(const config_source& source);

    /// Answers a peer's request for log entries or for a page of the tables.
    [[nodiscard]] wire::config_reply answer(const wire::config_request& request) const;

    /// Returns the request matcher of the configuration in force; null before the first one.
    [[nodiscard]] std::shared_ptr<const route_matcher> match() const;

    /// Returns the configuration tables in force.
    [[nodiscard]] std::shared_ptr<const config_snapshot> snapshot() const;

    /// Returns whether a configuration is in force.
    [[nodiscard]] bool is_ready() const { return match() != nullptr; }

private:
    bool load_all_tables();
    bool adopt_entries(const std::vector<config_log_entry>& entries);
    bool adopt_snapshot(const config_snapshot& snapshot);
    bool fetch_entries(const std::string& address);
    void fetch_snapshot(const std::string& address);
    void publish();
    [[nodiscard]] wire::config_reply answer_entries(std::int64_t since) const;
    [[nodiscard]] wire::config_reply answer_tables(const std::string& cursor) const;

    std::int64_t term_;
    http_platform& platform_;
    peer_client& peers_;
    time_ms peer_timeout_;
    counters& counts_;
    listener on_adopted_;
    std::mutex update_mutex_; ///< one update at a time
    /// Guards history_. Adopting a version copies the tables under this lock, so request handling
    /// must not take it.
    mutable std::mutex history_mutex_;
    config_history history_;
    mutable std::mutex mutex_; ///< guards current_ and match_; held only briefly
    std::shared_ptr<const config_snapshot> current_{std::make_shared<const config_snapshot>()};
    std::shared_ptr<const route_matcher> match_;
};

} // namespace jujubevalve
