#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <deque>

namespace jujubevalve
{

/// Payload bytes that a machine's link has carried since the start.
struct link_traffic {
    std::int64_t received{0};
    std::int64_t sent{0};

    friend bool operator==(const link_traffic&, const link_traffic&) = default;
};

/// What is known of this machine's own link: its speed, and how full it has been of late. Both
/// directions have the whole speed.
class link_budget
{
public:
    explicit link_budget(double link_mbps);

    /// Payload bytes that the link carries in a millisecond, in each direction.
    [[nodiscard]] double bytes_per_ms() const { return bytes_per_ms_; }

    /// Records the bytes so far. Call it whenever they matter; calls in quick succession are free.
    void observe(const link_traffic& total, time_ms now);

    /// Whether either direction has been full of late, so that bytes wait in its queue: connections
    /// take long to be established and answers to arrive, whatever the peer does.
    [[nodiscard]] bool is_congested() const;

private:
    struct sample {
        time_ms at{};
        link_traffic total;
    };

    double bytes_per_ms_;
    std::deque<sample> samples_; ///< oldest first
};

} // namespace jujubevalve
