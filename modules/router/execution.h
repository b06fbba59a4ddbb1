#pragma once

#include "core/core.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Token usage of one request, as reported by the backend server.
struct token_usage {
    token_count prompt{0};
    token_count completion{0};

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// Final state of an execution.
struct execution_end {
    std::optional<failure> error; ///< empty after a complete answer
    run_outcome outcome{run_outcome::unknown};
    int http_status{200};                     ///< status of a plain service's answer
    std::string content_type;                 ///< content type of a plain service's answer
    std::vector<std::string> retry_addresses; ///< addresses where the caller may retry
    std::optional<token_usage> usage;
    time_ms retry_after{0}; ///< 0: not specified

    friend bool operator==(const execution_end&, const execution_end&) = default;
};

/// The run of one request with all output produced so far. It is owned by the router, not by the
/// caller's connection, so that a retry with the same key can read the output from the start.
/// Thread-safe for one writer and any number of readers.
class execution
{
public:
    /// Output returned by a read. `ended` is set once no more parts follow these.
    struct progress {
        std::vector<std::string> parts;
        bool ended{false};
    };

    /// Appends a part of the answer.
    void append(std::string part);

    /// Sets the value of the Jujubevalve-Resume header, once the backend server is chosen.
    void set_resume(std::string resume);

    /// Ends the execution. Later calls have no effect.
    void finish(execution_end end);

    /// Waits until a part with index `from` exists, the execution ends or the time limit expires.
    /// Returns the parts from that index on.
    [[nodiscard]] progress read(std::size_t from, time_ms limit) const;

    /// Waits for the first part or the end of the execution. Returns false after the time limit.
    [[nodiscard]] bool wait_started(time_ms limit) const;

    /// Waits for the end. Returns an empty value after the time limit.
    [[nodiscard]] std::optional<execution_end> wait_ended(time_ms limit) const;

    /// Returns all parts so far, concatenated.
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
