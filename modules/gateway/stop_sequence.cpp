#include "gateway/stop_sequence.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Reserved before the limit for returning grants and ending the process.
constexpr time_ms end_margin{400};
/// Time until other instances know that this one no longer serves.
constexpr time_ms departure_propagation{800};
} // namespace

stop_sequence plan_stop(time_ms limit, time_ms address_ttl)
{
    // New requests are accepted only in the first third, so that long responses can complete.
    const auto accept_limit = time_ms{limit.count() / 3};
    return {std::min(departure_propagation, accept_limit),
            std::min(departure_propagation + address_ttl, accept_limit),
            std::max(limit - end_margin, accept_limit)};
}

bool stop_sequence::may_send(time_ms age, time_ms duration) const
{
    return age <= stop_accepting_after || age + duration <= end_after;
}

} // namespace jujubevalve
