#pragma once

#include "core/time_ms.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Collects proof that incarnations have terminated. Missing heartbeats or elapsed time alone are
/// never sufficient.
class termination_proof
{
public:
    /// `max_list_lag` is the maximum staleness of the platform's instance list;
    /// `max_request_duration` is the longest time that a request may run.
    termination_proof(time_ms max_list_lag, time_ms max_request_duration);

    /// Starts to watch an incarnation. The instance name and the peer address come from its
    /// instance row, which an incarnation writes only after it has bound the address.
    void watch(std::string_view incarnation, std::string_view instance,
               std::string_view peer_address, time_ms now);

    /// Records that a process identified itself as `incarnation` on a connection to the peer
    /// address that was opened at `connected_at`. This proves that every other incarnation of the
    /// same instance and address that was watched before `connected_at` has terminated. Rows and
    /// gossip prove nothing, because they may be older than the watched incarnation.
    void record_successor(std::string_view incarnation, std::string_view instance,
                          std::string_view peer_address, time_ms connected_at);

    /// Records a complete read of the platform's instance list. `requested_at` and `received_at`
    /// are the local times before and after the call. Failed reads must not be recorded.
    void list_read(const std::vector<std::string>& instances, time_ms requested_at,
                   time_ms received_at);

    /// Returns whether the incarnation has provably terminated.
    [[nodiscard]] bool is_terminated(std::string_view incarnation, time_ms now) const;

    /// Returns the watched incarnations that have provably terminated.
    [[nodiscard]] std::vector<std::string> gone(time_ms now) const;

    /// Stops watching an incarnation, for example after its grants have been reclaimed.
    void forget(std::string_view incarnation);

private:
    struct watched_incarnation {
        std::string instance;
        std::string peer_address;
        time_ms watched_since{};
        bool has_successor{false};
        bool was_listed{false};
        std::optional<time_ms> first_absent_at; ///< receipt of the first list without the instance
        /// Receipt of a list without the instance that was requested more than the maximum list
        /// lag after `first_absent_at`.
        std::optional<time_ms> absence_confirmed_at;
    };

    time_ms max_list_lag_;
    time_ms max_request_duration_;
    std::map<std::string, watched_incarnation, std::less<>> watched_;
};

} // namespace jujubevalve
