#pragma once

#include "core/time_ms.h"
#include "dispatch/call_request.h"
#include "dispatch/server_entry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// How a request ended at a server, as far as it tells something about the server.
enum class server_verdict {
    good,        ///< a complete answer
    refused,     ///< stated that it has not run the request, for example because it is full
    misdirected, ///< another server has its address
    bad_answer,  ///< an error of the server's own, or an answer that is not its own
    unreachable, ///< not connected, broken off or silent
    neutral,     ///< the request ended for another reason
};

/// What is known of one server.
struct server_state {
    server_entry entry;
    std::int64_t own_running{0};       ///< requests of this process that run or wait there
    token_count own_unread_tokens{0};  ///< prompt tokens sent there and not yet answered
    std::optional<server_load> report; ///< the last one received
    time_ms report_at{};
    time_ms heard_at{}; ///< when the last byte came from it
    std::int64_t sent_since_report{0};
    int failures{0};         ///< consecutive unreachable verdicts
    int errors{0};           ///< consecutive bad answers
    time_ms avoid_until{};   ///< takes requests only if no other server can
    time_ms refused_until{}; ///< stated a moment ago that it is full
    time_ms latency{};       ///< moving average of good answers to plain calls
};

/// The servers of all services as registered, with what the process has learned of them. An entry
/// that vanishes is kept for a grace time if the registry was out of reach a moment ago, since a
/// living server registers again.
class server_directory
{
public:
    /// Replaces all entries, after a first or renewed listing.
    void replace_all(const std::vector<server_entry>& entries, time_ms now);

    /// Takes over a new or changed entry.
    void put(const server_entry& entry, time_ms now);

    /// The entry has vanished.
    void remove(std::string_view id, time_ms now);

    /// The registry is out of reach, or is back.
    void set_registry_reachable(bool reachable, time_ms now);

    /// Drops entries whose grace time has passed.
    void expire(time_ms now);

    /// Servers of a service that take new requests.
    [[nodiscard]] std::vector<server_state*> candidates(std::string_view service);

    /// A server by id; null if it is not registered.
    [[nodiscard]] server_state* find(std::string_view id);

    /// Counts a request that is sent to the server, until ended().
    void started(std::string_view id, token_count unread_tokens);
    /// The prompt of a request has been read: its first token is there.
    void prompt_read(std::string_view id, token_count unread_tokens);
    /// A request has left the server.
    void ended(std::string_view id, server_verdict verdict, time_ms now);
    void heard(std::string_view id, time_ms now);
    /// Whether nothing has come from the server since then, so that it may be out of reach.
    [[nodiscard]] bool is_silent_since(std::string_view id, time_ms since);
    void reported(std::string_view id, const server_load& load, time_ms now);
    void answered_within(std::string_view id, time_ms latency);

    [[nodiscard]] std::size_t size() const { return servers_.size(); }

private:
    struct record {
        std::shared_ptr<server_state> state;
        std::optional<time_ms> vanished_at;
    };

    void fail(server_state& state, int count, time_ms now);

    std::map<std::string, record, std::less<>> servers_;
    bool reachable_{true};
    time_ms reachable_since_{};
    bool was_unreachable_{false};
};

} // namespace jujubevalve
