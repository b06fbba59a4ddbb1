#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// Divides the lifetime of one incarnation into numbered epochs. Only the issuing incarnation
/// decides whether a key has expired, so it uses its own steady clock and instances don't need
/// synchronised clocks.
struct key_epochs {
    time_ms start{};                     ///< steady time at which the incarnation started
    time_ms length{minutes(60)};         ///< length of an epoch
    time_ms retention{minutes(24 * 60)}; ///< how long keys stay valid after their epoch ends

    /// Returns the number of the epoch at time `now`, from 0.
    [[nodiscard]] std::int64_t at(time_ms now) const
    {
        return now < start ? 0 : (now - start).count() / length.count();
    }

    /// Returns whether keys of the epoch are no longer accepted.
    [[nodiscard]] bool expired(std::int64_t epoch, time_ms now) const
    {
        return epoch < first_valid(now);
    }

    /// Returns the lowest epoch whose keys are still accepted.
    [[nodiscard]] std::int64_t first_valid(time_ms now) const
    {
        const auto elapsed = (now - start - retention).count();
        return elapsed < 0 ? 0 : elapsed / length.count();
    }
};

} // namespace jujubevalve
