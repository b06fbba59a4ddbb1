#pragma once

#include <cstdint>

namespace jujubevalve
{

/// Limits retries to a fraction of the requests, so that retries do not multiply the load of a
/// failing pool. Only idempotent requests may be retried after they were sent. Not synchronised:
/// the caller locks.
class retry_budget
{
public:
    /// Each request adds `percent` hundredths of a retry, up to a balance of `burst` retries. The
    /// budget starts with `burst` retries.
    explicit retry_budget(std::int64_t percent = 10, std::int64_t burst = 10);

    /// Adds the credit of a first attempt. Do not call it for retries.
    void add_request();

    /// Spends one retry. Returns false if the request must not be retried.
    [[nodiscard]] bool take(bool idempotent);

    /// Returns how many retries the budget allows now.
    [[nodiscard]] std::int64_t available() const { return available_hundredths_ / 100; }

private:
    std::int64_t percent_;
    std::int64_t max_hundredths_;       ///< of a retry
    std::int64_t available_hundredths_; ///< of a retry
};

} // namespace jujubevalve
