#pragma once

#include "core/counters.h"

#include <cstddef>
#include <string_view>

namespace jujubevalve
{

/// Counts frames and bytes of the peer protocol: `peer_frames_sent`, `peer_bytes_sent` and the same
/// for received ones. `peer_control_bytes_sent` and `_received` exclude forwarded calls, which
/// are client traffic, so that they can be compared with a node's limit for control traffic.
class traffic_counts
{
public:
    explicit traffic_counts(counters& counts);

    /// Counts one frame of `bytes` size. `message` is the message name, empty for a hello.
    void sent(std::string_view message, std::size_t bytes);
    void received(std::string_view message, std::size_t bytes);

private:
    counter& frames_sent_;
    counter& frames_received_;
    counter& bytes_sent_;
    counter& bytes_received_;
    counter& control_sent_;
    counter& control_received_;
};

} // namespace jujubevalve
