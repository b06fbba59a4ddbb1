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

    /// An incarnation to watch, with its instance name and peer address as its instance row has
    /// them. An incarnation writes that row after it has bound the address.
    void watch(std::string_view incarnation, std::string_view instance,
               std::string_view peer_address, time_ms now);

    /// A process answered on a connection to the peer address, opened at `connected_at`, that it
    /// is this incarnation of the instance. Proves that any other incarnation of the same instance
    /// and address that was watched before then is gone. Rows and gossip are no such proof: they
    /// may be older than the watched incarnation.
    void successor_answered(std::string_view incarnation, std::string_view instance,
                            std::string_view peer_address, time_ms connected_at);

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
        time_ms since{};
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
