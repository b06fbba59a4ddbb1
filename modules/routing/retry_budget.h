#pragma once

#include <cstdint>

namespace jujubevalve
{

/// Bounds retries to a part of the requests, so that a failing pool is not hit by a multiple of its
/// load. Only idempotent requests may be retried after they were sent. Not synchronised.
class retry_budget
{
public:
    /// Each request adds `percent` hundredths of a retry; at most `burst` retries are saved up.
    /// The budget starts full.
    explicit retry_budget(std::int64_t percent = 10, std::int64_t burst = 10);

    /// Counts a request (not a retry).
    void add_request();

    /// Takes one retry. False: not allowed.
    [[nodiscard]] bool take(bool idempotent);

    /// Retries that could be taken now.
    [[nodiscard]] std::int64_t available() const { return hundredths_ / 100; }

private:
    std::int64_t percent_;
    std::int64_t max_hundredths_;
    std::int64_t hundredths_;
};

} // namespace jujubevalve
