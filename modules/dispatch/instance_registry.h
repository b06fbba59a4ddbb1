#pragma once

#include "core/time_ms.h"
#include "dispatch/account_homes.h"
#include "dispatch/grant_stock_policy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// The heartbeat that an instance publishes in the store: its address, state, capacity and demand.
struct instance_heartbeat {
    std::string instance;
    std::string incarnation;
    std::string address; ///< where callers connect, ip:port
    std::string failure_domain;
    std::int64_t number{0};                  ///< sequence number, from 1 in each incarnation
    bool serving{false};                     ///< accepts new callers
    std::int64_t capacity{0};                ///< requests per second that its machine can handle
    std::int64_t request_rate{0};            ///< requests per second that it receives
    account_demand demand;                   ///< tokens per second that its callers request
    std::vector<std::string> short_accounts; ///< accounts of which it lacks tokens
    std::string relay;         ///< address at which it relays calls to the store; may be empty
    std::string peer_address;  ///< where it takes reservations of other instances; may be empty
    bool takes_notices{false}; ///< takes fleet_notices of other instances there
    time_ms sent_at{};         ///< by the store's time; 0 if unknown

    friend bool operator==(const instance_heartbeat&, const instance_heartbeat&) = default;
};

/// Another instance that takes notices.
struct notice_peer {
    std::string instance;
    std::string address;

    friend bool operator==(const notice_peer&, const notice_peer&) = default;
};

/// Instances that share the store and the budgets.
struct instance_counts {
    std::int64_t live{1};   ///< all live instances, including this one
    std::int64_t listed{1}; ///< those in the address list, which get nearly all callers; at least 1
    bool self_listed{true}; ///< this instance is one of them

    friend bool operator==(const instance_counts&, const instance_counts&) = default;
};

/// Settings of an instance_registry.
struct instance_registry_options {
    time_ms max_heartbeat_age{3500}; ///< an instance with an older last heartbeat is omitted
    std::size_t max_addresses{64};   ///< in the list for callers
    std::size_t min_instances{4};    ///< over which callers are spread if there are as many
};

/// Tracks the instances of the fleet by their heartbeats and lists the addresses that callers may
/// connect to. The heartbeats are rows of the store; while it is unreachable none can arrive, so no
/// instance is omitted for a missing one.
class instance_registry
{
public:
    instance_registry(std::string own_instance, instance_registry_options options);

    /// Records a heartbeat row; one that has been seen before does not count as a new sign of life.
    /// `age`: since it was sent. The row of an instance that ended without deleting it stays in the
    /// store, and is not one when it is read for the first time.
    void observe(const instance_heartbeat& heartbeat, time_ms now, time_ms age = {});
    void remove(std::string_view instance);

    /// Uses the listed instances and the totals of a digest from now on, instead of heartbeats.
    void use_digest(std::vector<instance_heartbeat> listed, std::int64_t live_instances,
                    account_demand total_demand);
    /// Uses heartbeats from now on; those observed before are forgotten.
    void use_heartbeats();

    /// Sets whether the store is reachable. When it becomes reachable again, the time without a
    /// heartbeat is counted from `now`.
    void set_reachable(bool reachable, time_ms now);

    /// Returns addresses for callers, including that of `own` if it is serving. Callers pick one at
    /// random, so each instance gets the same load. The list therefore holds only the largest
    /// machines: as many as can handle the demand with a reserve, and those of similar capacity.
    [[nodiscard]] std::vector<std::string> addresses(const instance_heartbeat& own,
                                                     time_ms now) const;

    /// Returns the addresses at which the other live instances relay calls to the store: those in
    /// the address list first, in an order that differs between the instances that ask.
    [[nodiscard]] std::vector<std::string> relays(const instance_heartbeat& own, time_ms now) const;

    /// Returns the total demand of the other live instances, by account.
    [[nodiscard]] account_demand demand_elsewhere(const instance_heartbeat& own, time_ms now) const;

    /// Returns the listed instances that take reservations of other instances.
    [[nodiscard]] std::vector<home_candidate> home_candidates(const instance_heartbeat& own,
                                                              time_ms now) const;

    /// Returns the known live instances that take notices of other instances.
    [[nodiscard]] std::vector<notice_peer> notice_peers(time_ms now) const;

    /// Returns the listed instances' heartbeats.
    [[nodiscard]] std::vector<instance_heartbeat> listed_heartbeats(const instance_heartbeat& own,
                                                                    time_ms now) const;

    /// Returns whether an incarnation of another instance is live; true for all while a digest is
    /// used, which does not show all instances.
    [[nodiscard]] bool is_live(std::string_view incarnation, time_ms now) const;

    /// Returns the numbers of live and of listed instances, including this one.
    [[nodiscard]] instance_counts counts(const instance_heartbeat& own, time_ms now) const;

private:
    struct peer {
        instance_heartbeat heartbeat;
        time_ms last_seen_at{};
    };

    [[nodiscard]] bool is_live(const peer& tracked, time_ms now) const;
    /// Returns the heartbeats of the instances in the address list.
    [[nodiscard]] std::vector<const instance_heartbeat*> listed(const instance_heartbeat& own,
                                                                time_ms now) const;
    /// Returns how many of the instances, sorted by descending capacity, are needed for the demand.
    [[nodiscard]] std::size_t
    needed_count(const std::vector<const instance_heartbeat*>& by_capacity) const;

    std::string own_instance_;
    instance_registry_options options_;
    /// What a digest tells of the fleet.
    struct digest_facts {
        std::vector<instance_heartbeat> listed;
        std::int64_t live_instances{1};
        account_demand total_demand;
    };

    std::map<std::string, peer, std::less<>> peers_;
    std::optional<digest_facts> digest_;
    bool store_reachable_{true};
    time_ms store_reachable_since_{};
};

} // namespace jujubevalve
