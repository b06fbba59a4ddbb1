#include "dispatch/retry_advisor.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
/// Range of the delay of a refusal of which it is not known when its cause ends.
constexpr time_ms min_delay{100};
constexpr time_ms max_delay{600};
/// The same for causes that concern only this instance, so that another may serve the caller.
constexpr time_ms min_other_instance_delay{10};
constexpr time_ms max_other_instance_delay{80};
/// Range of the time over which callers return that were told when there is room: those that wait
/// for long were refused over a long time, and room for all of them comes as slowly.
constexpr time_ms min_spread{20};
constexpr time_ms max_spread{500};

bool concerns_only_this_instance(refusal_cause cause)
{
    return cause == refusal_cause::instance_stopping ||
           cause == refusal_cause::budget_unavailable ||
           cause == refusal_cause::server_rate_limited;
}
} // namespace

retry_advisor::retry_advisor(std::uint64_t seed)
    : random_{static_cast<std::minstd_rand::result_type>(seed)}
{
}

time_ms retry_advisor::retry_after(const refusal_facts& refusal)
{
    if (refusal.room_expected_in) {
        const auto room_in = std::max(*refusal.room_expected_in, time_ms{0});
        return room_in + draw(time_ms{0}, std::clamp(room_in, min_spread, max_spread));
    }
    return concerns_only_this_instance(refusal.cause)
               ? draw(min_other_instance_delay, max_other_instance_delay)
               : draw(min_delay, max_delay);
}

time_ms retry_advisor::draw(time_ms shortest, time_ms longest)
{
    return time_ms{
        std::uniform_int_distribution<std::int64_t>{shortest.count(), longest.count()}(random_)};
}

} // namespace jujubevalve
