#pragma once

#include "net/event_loop.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// How a table is followed.
struct follow_options {
    std::string table;
    time_ms max_wait{2000}; ///< how long the store may hold a question until there is a change
    time_ms poll_delay{0};  ///< between an answer and the next question; gathers changes
};

/// Keeps a copy of a store table up to date: lists it, then follows its changes, and lists it again
/// when the store no longer has the changes in between. After a failed call it waits for resume().
class table_follower
{
public:
    /// What the follower reports.
    struct handlers {
        /// All rows, after a listing.
        std::function<void(const std::vector<stored_row>&)> listed;
        /// Changed rows in order.
        std::function<void(const std::vector<stored_row>&)> changed;
        /// A call succeeded or failed.
        std::function<void(bool reachable)> call_completed;
    };

    table_follower(event_loop& loop, store_client& store, follow_options options,
                   handlers callbacks);
    ~table_follower();
    table_follower(const table_follower&) = delete;
    table_follower& operator=(const table_follower&) = delete;

    /// Begins to list, or asks again after a failure; drops an answer that is still awaited.
    void resume();

    /// Whether a listing has been received.
    [[nodiscard]] bool is_listed() const { return listed_; }

private:
    void list(std::int64_t attempt, std::vector<stored_row> rows, const std::string& from);
    void follow(std::int64_t attempt);
    void read_next(std::int64_t attempt);
    void report_failure();

    event_loop& loop_;
    store_client& store_;
    follow_options options_;
    handlers handlers_;
    std::int64_t attempt_{0}; ///< answers to earlier attempts are dropped
    std::int64_t version_{0};
    bool listed_{false};
    bool can_follow_{false};         ///< the changes since version_ can be asked for
    bool last_call_answered_{false}; ///< the last call was answered, so a long wait is worthwhile
    timer_id timer_{0};
};

} // namespace jujubevalve
