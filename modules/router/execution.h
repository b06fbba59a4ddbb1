#pragma once

#include "core/core.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Tokens of one request as the backend server reported them.
struct token_usage {
    token_count prompt{0};
    token_count completion{0};

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// How an execution ended.
struct execution_end {
    std::optional<failure> why; ///< empty after a whole answer
    run_outcome outcome{run_outcome::unknown};
    int http_status{200};              ///< status of a plain service's answer
    std::string content_type;          ///< of a plain service's answer
    std::vector<std::string> try_next; ///< addresses where the caller may retry
    std::optional<token_usage> usage;
    time_ms retry_after{0}; ///< 0: no advice

    friend bool operator==(const execution_end&, const execution_end&) = default;
};

/// The run of one request and everything that it has produced so far. It belongs to the router and
/// not to a caller's connection, so that a retry with the same key can read it from the start.
/// Written by one thread, read by any number.
class execution
{
public:
    /// What a reader got: new parts, or the end after the last part.
    struct progress {
        std::vector<std::string> parts;
        bool ended{false};
    };

    /// Adds a part of the answer.
    void append(std::string part);

    /// Sets the value of the Jujubevalve-Resume header once the backend server is known.
    void set_resume(std::string resume);

    /// Ends the execution. Later calls have no effect.
    void finish(execution_end end);

    /// Waits until there are parts from index `from` on, the end, or the time limit.
    [[nodiscard]] progress read(std::size_t from, time_ms limit) const;

    /// Waits until the first part has arrived or the execution has ended; false after the limit.
    [[nodiscard]] bool wait_started(time_ms limit) const;

    /// Waits for the end. Returns nothing after the time limit.
    [[nodiscard]] std::optional<execution_end> wait_ended(time_ms limit) const;

    /// All parts so far, joined.
    [[nodiscard]] std::string text() const;

    [[nodiscard]] std::string resume() const;
    [[nodiscard]] std::size_t parts() const;

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<std::string> parts_;
    std::string resume_;
    std::optional<execution_end> end_;
};

} // namespace jujubevalve
