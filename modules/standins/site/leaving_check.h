#pragma once

#include "core/time_ms.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve::site
{

/// Checks that a gateway sends nothing to a server that has said in an answer that it leaves, from
/// a while after the gateway has passed that answer on. Thread-safe.
class leaving_check
{
public:
    /// Time in which requests that callers send may still reach the server; the users' bound.
    static constexpr time_ms drain_time{2000};

    /// Records that a caller sends a request to a gateway.
    void sent(const std::string& id, const std::string& gateway, time_ms now);
    /// Records that a caller has got an answer to its request that says that its server leaves.
    void answered(const std::string& id, const std::string& server, time_ms now);
    /// Records that a request has arrived at a server, and whether that was too late.
    void arrived(const std::string& id, const std::string& server);
    /// Forgets what a gateway has passed on, as it starts again or was frozen.
    void excuse(const std::string& gateway, time_ms now);

    /// Number of answers so far after which a server must get nothing more.
    [[nodiscard]] std::size_t announcements() const;
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    struct sent_request {
        std::string gateway;
        time_ms at{};
    };

    mutable std::mutex mutex_;
    std::map<std::string, sent_request> sent_; ///< by request id
    /// When a gateway has first passed on that a server leaves.
    std::map<std::pair<std::string, std::string>, time_ms> passed_on_;
    std::map<std::string, time_ms> excused_; ///< by gateway
    std::size_t announcements_{0};
    std::vector<std::string> violations_;
};

} // namespace jujubevalve::site
