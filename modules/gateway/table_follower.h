#pragma once

#include "net/event_loop.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Options of a table_follower.
struct follow_options {
    std::string table;
    time_ms max_wait{2000}; ///< how long the store may hold a request until there is a change
    time_ms poll_delay{0};  ///< between a response and the next request; batches changes
};

/// Follows a store table: reads all rows, then polls for changes, and reads all rows again when the
/// store no longer has the changes in between. After a failed call it waits for resume().
class table_follower
{
public:
    /// Callbacks of the follower.
    struct handlers {
        /// Receives all rows after a full read.
        std::function<void(const std::vector<stored_row>&)> listed;
        /// Receives changed rows in the order of their versions.
        std::function<void(const std::vector<stored_row>&)> changed;
        /// Called after each call to the store with whether it responded.
        std::function<void(bool reachable)> call_completed;
    };

    table_follower(event_loop& loop, store_client& store, follow_options options,
                   handlers callbacks);
    ~table_follower();
    table_follower(const table_follower&) = delete;
    table_follower& operator=(const table_follower&) = delete;

    /// Starts reading, or continues after a failure. Ignores the response to a pending request.
    void restart();

    /// As restart(), but does nothing while a request is pending or due. On a slow link, restarting
    /// a long transfer again and again would never complete it.
    void resume();

    /// Stops reading until restart() or start_over().
    void pause();

    /// As restart(), but reads all rows again instead of the changes since the last read.
    void start_over();

    /// As start_over(), but does nothing before the start or while paused; what was to be read
    /// after a pause is read in full.
    void begin_store_era();

    /// Returns the version up to which the changes have been read.
    [[nodiscard]] std::int64_t version() const { return version_; }

    /// Returns the store time of the last response.
    [[nodiscard]] time_ms read_at() const { return read_at_; }

    /// Returns whether a full read has completed.
    [[nodiscard]] bool is_listed() const { return listed_; }

private:
    /// Reads the page that begins at a key. `version` is that of the first page: later changes to
    /// rows on earlier pages are followed from there.
    void list(std::int64_t attempt, std::vector<stored_row> rows, const std::string& from,
              std::optional<std::int64_t> version);
    void follow(std::int64_t attempt);
    void read_next(std::int64_t attempt);
    void report_failure();

    event_loop& loop_;
    store_client& store_;
    follow_options options_;
    handlers handlers_;
    std::int64_t attempt_{0}; ///< responses to earlier attempts are ignored
    std::int64_t version_{0};
    time_ms read_at_{};
    bool listed_{false};
    bool can_follow_{false};         ///< the changes since version_ can be requested
    bool last_call_answered_{false}; ///< if so, the store may hold the next one
    bool is_running_{false};         ///< false before the start and after a failure
    bool is_paused_{false};
    timer_id timer_{0};
};

} // namespace jujubevalve
