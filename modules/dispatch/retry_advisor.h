#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <optional>
#include <random>

namespace jujubevalve
{

/// Why a request is refused that has not run.
enum class refusal_cause {
    instance_not_ready,  ///< has no configuration yet
    instance_stopping,   ///< ends before the request might
    instance_overloaded, ///< its own link or processor cannot carry the request in time
    budget_exhausted,    ///< the account's prepaid budget does not cover the request
    budget_unavailable,  ///< tokens of the account cannot be had at this instance at present
    no_server,           ///< no server of the service takes requests
    servers_full,        ///< all servers of the service are full
    server_rate_limited, ///< servers limit their requests, and this instance has no share now
};

/// A refusal, as far as it matters for when the caller should return.
struct refusal_facts {
    refusal_cause cause{refusal_cause::no_server};
    /// Time after which a request like this is expected to be served; nothing if unknown.
    std::optional<time_ms> room_expected_in;

    friend bool operator==(const refusal_facts&, const refusal_facts&) = default;
};

/// Decides for every refusal when the caller should send its request again. Delays are randomised
/// so that callers that were refused together do not return together.
class retry_advisor
{
public:
    explicit retry_advisor(std::uint64_t seed);

    [[nodiscard]] time_ms retry_after(const refusal_facts& refusal);

private:
    /// Returns a random duration from the range.
    [[nodiscard]] time_ms draw(time_ms shortest, time_ms longest);

    std::minstd_rand random_;
};

} // namespace jujubevalve
