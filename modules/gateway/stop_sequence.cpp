#include "gateway/stop_sequence.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Left for returning grants and ending before the limit.
constexpr time_ms end_margin{400};
/// Time for other instances to learn that this one has left.
constexpr time_ms announcement{800};
} // namespace

stop_sequence plan_stop(time_ms limit, time_ms address_ttl)
{
    // New requests are taken in the first third, so that long answers can still end.
    const auto last_request = time_ms{limit.count() / 3};
    return {std::min(announcement, last_request),
            std::min(announcement + address_ttl, last_request),
            std::max(limit - end_margin, last_request)};
}

} // namespace jujubevalve
