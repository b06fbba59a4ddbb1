#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace jujubevalve
{

/// Faults injected by a platform stand-in.
struct fault_settings {
    bool outage{false};       ///< every call fails and has no effect
    time_ms delay{0};         ///< before the HTTP server runs a call
    double lost_answers{0.0}; ///< fraction of writes that take effect but whose response is lost
    double late_writes{0.0};  ///< fraction of commits that return `unknown` and run later
    std::uint64_t seed{1};    ///< for the random choice of lost responses and late commits
};

/// Number of calls to a platform stand-in. Calls refused in an outage count as `refused` only.
struct call_counts {
    std::int64_t reads{0};
    std::int64_t writes{0};
    std::int64_t rows_written{0};
    std::int64_t refused{0};

    friend bool operator==(const call_counts&, const call_counts&) = default;
};

/// Faults and call counts shared by the stores of one platform stand-in. Thread-safe. Calls never
/// sleep, so it can be used with a virtual clock.
class memory_faults
{
public:
    void set(const fault_settings& settings);
    [[nodiscard]] fault_settings settings() const;
    [[nodiscard]] call_counts counts() const;

    /// Counts a read; returns false during an outage.
    [[nodiscard]] bool admit_read();

    /// Counts a write of `rows` rows; returns false during an outage.
    [[nodiscard]] bool admit_write(std::int64_t rows);

    /// Draws whether the response of the write that just ran is lost.
    [[nodiscard]] bool lose_answer();

    /// Draws whether the commit that is about to run is late.
    [[nodiscard]] bool is_late();

private:
    bool draw(double probability);

    mutable std::mutex mutex_;
    fault_settings settings_;
    call_counts counts_;
    std::mt19937_64 random_{1};
};

} // namespace jujubevalve
