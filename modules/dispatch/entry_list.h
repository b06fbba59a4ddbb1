#pragma once

#include "core/time_ms.h"
#include "dispatch/stocked_grants.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// What an instance of the fleet publishes of itself.
struct instance_beat {
    std::string instance;
    std::string incarnation;
    std::string address; ///< where callers connect, ip:port
    std::string failure_domain;
    std::int64_t number{0};            ///< of the beat, from 1 in each incarnation
    bool serving{false};               ///< takes new callers
    std::int64_t capacity{0};          ///< requests per second that its machine can carry
    std::int64_t request_rate{0};      ///< requests per second that it gets
    account_demand demand;             ///< tokens per second that its callers ask for
    std::vector<std::string> short_of; ///< accounts of which it lacks tokens
    std::string relay;                 ///< where it passes calls on to the store; may be empty

    friend bool operator==(const instance_beat&, const instance_beat&) = default;
};

/// Settings of an entry_list.
struct entry_list_options {
    time_ms silence_limit{3500}; ///< an instance without a new beat for this long is left out
    std::size_t most{64};        ///< addresses in an answer
    std::size_t least{4};        ///< instances among which callers are spread at least
};

/// The instances that callers may be sent to, by their beats. While the store that carries the
/// beats is out of reach nobody is left out for silence, since nobody can be heard.
class entry_list
{
public:
    entry_list(std::string own_instance, entry_list_options options);

    void observe(const instance_beat& beat, time_ms now);
    void remove(std::string_view instance);

    /// The store is out of reach, or is back; silence then counts from now on.
    void set_reachable(bool reachable, time_ms now);

    /// Addresses for callers, the own one among them if `own` serves. Callers pick one of them at
    /// random, so each gets the same load: only the largest machines are named, as many as carry
    /// the demand with some reserve, and those that are about as large.
    [[nodiscard]] std::vector<std::string> addresses(const instance_beat& own, time_ms now) const;

    /// Where the other instances that are heard pass calls on to the store.
    [[nodiscard]] std::vector<std::string> relays(time_ms now) const;

    /// Demand of the other instances that are heard, by account.
    [[nodiscard]] account_demand demand_elsewhere(time_ms now) const;

    /// Instances that are heard, this one included.
    [[nodiscard]] std::int64_t live_count(time_ms now) const;

private:
    struct record {
        instance_beat beat;
        time_ms heard_at{};
    };

    [[nodiscard]] bool is_heard(const record& item, time_ms now) const;
    [[nodiscard]] std::size_t enough(const std::vector<const instance_beat*>& largest_first) const;

    std::string own_instance_;
    entry_list_options options_;
    std::map<std::string, record, std::less<>> records_;
    bool reachable_{true};
    time_ms reachable_since_{};
};

} // namespace jujubevalve
