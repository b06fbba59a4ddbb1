#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// Counts the epochs of one incarnation from its start. Only the issuing incarnation judges whether
/// a key has expired, so its own steady clock suffices and clocks of instances need not agree.
struct key_epochs {
    time_ms start{};                     ///< steady time at which the incarnation started
    time_ms length{minutes(60)};         ///< length of an epoch
    time_ms retention{minutes(24 * 60)}; ///< how long keys stay valid after their epoch has ended

    /// The number of the epoch at that time, from 0.
    [[nodiscard]] std::int64_t at(time_ms now) const
    {
        return now < start ? 0 : (now - start).count() / length.count();
    }

    /// Whether keys of the epoch are no longer accepted.
    [[nodiscard]] bool expired(std::int64_t epoch, time_ms now) const
    {
        return epoch < first_valid(now);
    }

    /// The lowest epoch whose keys are still accepted.
    [[nodiscard]] std::int64_t first_valid(time_ms now) const
    {
        const auto passed = (now - start - retention).count();
        return passed < 0 ? 0 : passed / length.count();
    }
};

} // namespace jujubevalve
