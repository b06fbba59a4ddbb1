#pragma once

#include "core/time_ms.h"
#include "load/attempt_policy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace jujubevalve
{

/// Counts of a load run. Each request ends in exactly one of the first five.
struct load_totals {
    std::int64_t answered{0};
    std::int64_t refused_not_run{0};
    std::int64_t outcome_unknown{0};
    std::int64_t unreachable{0};
    std::int64_t wrong_or_partial_answers{0};
    std::int64_t attempts{0};
    std::int64_t refused_attempts{0};
    std::int64_t lost_attempts{0};
    std::int64_t not_delivered_attempts{0};
    std::int64_t tokens{0}; ///< received in correct answers

    friend bool operator==(const load_totals&, const load_totals&) = default;
};

/// Counts and latencies of a load run. Safe to use from any thread.
class load_stats
{
public:
    load_stats();
    ~load_stats();
    load_stats(const load_stats&) = delete;
    load_stats& operator=(const load_stats&) = delete;

    /// Counts an attempt.
    void add_attempt(const attempt_result& ended);

    /// Counts a finished request; `type` is the error type of the last refusal, if any.
    void add_outcome(caller_outcome outcome, const std::string& type);

    /// Counts an answer that had wrong content, or was marked complete with tokens missing.
    void add_wrong_answer();

    /// Counts tokens received in an answer.
    void add_tokens(std::int64_t tokens);

    /// Records the time from the start of a request to its first token.
    void add_first_token(double milliseconds);

    /// Records the time between two tokens.
    void add_token_gap(double milliseconds);

    /// Records the total time of a request.
    void add_request(double milliseconds);

    /// Returns the counts so far.
    [[nodiscard]] load_totals totals() const;

    /// Returns counts, error types and quantiles (in ms) as a JSON object.
    [[nodiscard]] std::string to_json() const;

    /// Returns the same values as `name value` lines.
    [[nodiscard]] std::string to_text() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
