#pragma once

#include "membership/membership.h"
#include "peer/peer.h"
#include "router/router_settings.h"
#include "router/task_group.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Exchanges gossip with other instances and provides the resulting membership. Thread-safe. The
/// information may be stale; no correctness guarantee depends on it.
class membership_service
{
public:
    membership_service(const member_entry& own, const router_settings& settings,
                       peer_client& peers);

    /// Starts one gossip round with the peers that the member table selects. Does not wait for the
    /// exchanges.
    void run_round();

    /// Merges a peer's digest and returns the reply.
    wire::gossip answer(const wire::gossip& request);

    /// Sets the function to call after an exchange when a peer has a newer configuration.
    void on_newer_config(std::function<void(const config_source&)> fetch)
    {
        newer_config_handler_ = std::move(fetch);
    }

    /// Sets the function to call with budgets of which another incarnation has run short.
    void on_peer_shortage(std::function<void(const std::vector<std::string>&)> handler)
    {
        peer_shortage_handler_ = std::move(handler);
    }

    /// Removes both functions and waits for exchanges in progress.
    void stop();

    void set_draining();
    void set_config(std::int64_t term, std::int64_t version);
    void announce_available(std::map<std::string, std::int64_t, std::less<>> available);
    void report_shortage(const std::string& budget);

    /// Returns instance addresses for a caller, nearest first.
    [[nodiscard]] std::vector<listed_address> addresses(const caller_location& place);

    /// Returns addresses where a refused caller may retry, excluding this instance. If `budget` is
    /// given, the instance reported to hold the most tokens of it comes first.
    [[nodiscard]] std::vector<std::string> alternatives(const std::string& budget = {});

    [[nodiscard]] std::optional<member_entry> holder_of(const std::string& budget) const;
    [[nodiscard]] std::optional<member_view> find(const std::string& incarnation) const;
    [[nodiscard]] std::vector<member_view> members() const;
    [[nodiscard]] std::int64_t live_instances() const;
    [[nodiscard]] member_entry own() const;

private:
    void exchange(const std::string& address);
    void notify_peer_shortage(const gossip_digest& digest);

    peer_client& peers_;
    time_ms timeout_;
    steady_clock_ms clock_;
    mutable std::mutex mutex_;
    member_table table_;
    std::uint64_t list_rotation_{0};
    std::function<void(const config_source&)> newer_config_handler_;
    std::function<void(const std::vector<std::string>&)> peer_shortage_handler_;
    task_group exchanges_;
};

} // namespace jujubevalve
