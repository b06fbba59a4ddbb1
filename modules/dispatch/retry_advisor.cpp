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
    const bool elsewhere = concerns_only_this_instance(refusal.cause);
    const auto shortest = elsewhere ? min_other_instance_delay : min_delay;
    const auto longest = elsewhere ? max_other_instance_delay : max_delay;
    std::uniform_int_distribution<std::int64_t> delay_ms{shortest.count(), longest.count()};
    return std::max(refusal.room_expected_in.value_or(time_ms{0}), time_ms{0}) +
           time_ms{delay_ms(random_)};
}

} // namespace jujubevalve
