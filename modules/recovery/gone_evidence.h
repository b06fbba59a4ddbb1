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

/// Decides whether an incarnation is certainly gone. Silence or elapsed time alone never suffices.
class gone_evidence
{
public:
    /// `list_lag`: how far the platform's list is behind at most; `longest_request`: the longest
    /// time that a request may run.
    gone_evidence(time_ms list_lag, time_ms longest_request);

    /// An incarnation to watch, with its instance name and peer address.
    void watch(std::string_view incarnation, std::string_view instance,
               std::string_view peer_address);

    /// A later incarnation of the instance has bound this peer address. Proves that every other
    /// incarnation that was watched with the same instance and address is gone. Report only what
    /// a process said of itself after its bind, or its instance row.
    void successor_bound(std::string_view incarnation, std::string_view instance,
                         std::string_view peer_address);

    /// A complete read of the platform's list. `asked_at` and `answered_at` are the times of this
    /// process before and after the call. A failed read is not reported.
    void list_read(const std::vector<std::string>& instances, time_ms asked_at,
                   time_ms answered_at);

    /// Whether the incarnation is certainly gone.
    [[nodiscard]] bool is_gone(std::string_view incarnation, time_ms now) const;

    /// The watched incarnations that are certainly gone.
    [[nodiscard]] std::vector<std::string> gone(time_ms now) const;

    /// Forgets an incarnation whose grants are closed.
    void forget(std::string_view incarnation);

private:
    struct watched {
        std::string instance;
        std::string peer_address;
        bool succeeded{false};
        bool was_listed{false};
        std::optional<time_ms> first_absent; ///< answer of the first read that lacks it
        std::optional<time_ms> confirmed; ///< answer of a read that lacks it more than a lag later
    };

    time_ms list_lag_;
    time_ms longest_request_;
    std::map<std::string, watched, std::less<>> watched_;
};

} // namespace jujubevalve
