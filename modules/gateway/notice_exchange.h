#pragma once

#include "dispatch/fleet_notices.h"
#include "dispatch/instance_registry.h"
#include "gateway/peer_link.h"
#include "gateway/peer_messages.h"
#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Keeps the notice boards of all instances alike, without the store: passes news on to a few other
/// instances at once, and compares boards with them every second until they are alike, so that a
/// message that is lost does no harm. Connects only while there is something to tell or to ask.
class notice_exchange
{
public:
    /// `store_time` returns the time of the notices' stamps.
    notice_exchange(event_loop& loop, notice_board& board, std::function<time_ms()> store_time);
    ~notice_exchange();
    notice_exchange(const notice_exchange&) = delete;
    notice_exchange& operator=(const notice_exchange&) = delete;

    /// Sets the other instances.
    void set_peers(const std::string& own_instance, std::vector<notice_peer> peers);

    /// Passes on what has changed on the board.
    void pass_on(const fleet_notice& notice);

    /// Asks other instances for their notices, at least once a second as long as this is called.
    void ask();

    /// Handles a message of an instance that connected here and returns the replies.
    std::vector<peer_message> receive(const peer_message& message);

    /// Returns whether this instance can hear any other, or there is none.
    [[nodiscard]] bool can_hear_others() const;

    /// Returns the number of messages sent so far.
    [[nodiscard]] std::int64_t messages_sent() const { return messages_sent_; }

private:
    struct peer_state {
        std::unique_ptr<peer_link> link;
        std::string address;
        bool is_answering{false};                   ///< it has sent something on this connection
        std::optional<time_ms> compared_at;         ///< of a comparison without an answer
        std::uint64_t compared_digest{0};           ///< of this board, in the last comparison
        std::optional<std::uint64_t> agreed_digest; ///< of both boards when they were last alike
        int differences{0}; ///< comparisons in a row that found the boards different
        time_ms next_all{}; ///< when all notices may be exchanged again
        time_ms next_connect{};
    };

    [[nodiscard]] bool is_active() const;
    /// Returns the time from one comparison to the next. It grows while comparing changes nothing.
    [[nodiscard]] time_ms next_compare_interval();
    void receive_reply(peer_state& peer, const peer_message& message);
    void put_all(const share_notices& shared);
    /// Returns the notices that a board which was alike a while ago may lack.
    [[nodiscard]] std::vector<fleet_notice> recent() const;
    void wake();
    void run();
    void flush();
    void connect(const std::string& instance, peer_state& peer);
    void compare(peer_state& peer);
    void send(peer_state& peer, const peer_message& message);
    void retire(peer_state& peer);

    event_loop& loop_;
    notice_board& board_;
    std::function<time_ms()> store_time_;
    std::string own_instance_;
    std::vector<notice_peer> known_;
    std::map<std::string, peer_state> peers_; ///< chosen ones, by instance
    std::vector<fleet_notice> news_;          ///< not passed on yet
    bool flush_scheduled_{false};
    bool run_scheduled_{false};
    time_ms asked_until_{};
    time_ms connected_until_{}; ///< so that further news need not wait for connections
    time_ms next_compare_{};
    time_ms compare_interval_{};
    std::uint64_t last_compared_digest_{0};
    std::int64_t messages_sent_{0};
};

} // namespace jujubevalve
