#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace jujubevalve
{

/// Faults that a stand-in platform shows.
struct fault_settings {
    bool outage{false};       ///< every call fails and has no effect
    time_ms delay{0};         ///< the HTTP server waits so long before it runs a call
    double lost_answers{0.0}; ///< share of writes that take effect and lose their answer, 0 to 1
    double late_writes{0.0};  ///< share of commits that answer `unknown` and run later, 0 to 1
    std::uint64_t seed{1};    ///< of the choice which answers are lost
};

/// Calls that a stand-in platform ran; refused calls are not in it.
struct call_counts {
    std::int64_t reads{0};
    std::int64_t writes{0};
    std::int64_t rows_written{0};
    std::int64_t refused{0};

    friend bool operator==(const call_counts&, const call_counts&) = default;
};

/// The faults and counts that the stores of one stand-in platform share. Safe from any thread;
/// never waits, so that it can be used under a virtual clock.
class memory_faults
{
public:
    void set(const fault_settings& settings);
    [[nodiscard]] fault_settings settings() const;
    [[nodiscard]] call_counts counts() const;

    /// Counts a read. False during an outage.
    [[nodiscard]] bool admit_read();

    /// Counts a write of so many rows. False during an outage.
    [[nodiscard]] bool admit_write(std::int64_t rows);

    /// Whether the answer of the write that just ran is lost.
    [[nodiscard]] bool lose_answer();

    /// Whether the commit that is about to run is late.
    [[nodiscard]] bool is_late();

private:
    bool draw(double probability);

    mutable std::mutex mutex_;
    fault_settings settings_;
    call_counts counts_;
    std::mt19937_64 random_{1};
};

} // namespace jujubevalve
