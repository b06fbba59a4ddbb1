#pragma once

#include "membership/budget_hints.h"
#include "membership/gossip_digest.h"
#include "membership/member_entry.h"
#include "membership/membership_settings.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// An entry and its liveness as seen by this incarnation.
struct member_view {
    member_entry entry;
    bool suspected{false};
    time_ms last_progress{}; ///< when this incarnation last saw the heartbeat advance

    friend bool operator==(const member_view&, const member_view&) = default;
};

/// A peer with a newer configuration than this instance.
struct config_source {
    std::int64_t term{0};
    std::int64_t version{0};
    std::string peer_address;

    friend bool operator==(const config_source&, const config_source&) = default;
};

/// This incarnation's view of the fleet, kept up to date by gossip. It may be out of date or wrong,
/// so no guarantee may depend on it. Does no I/O and reads no clock: the caller passes the time and
/// transports the digests. Not thread-safe.
class member_table
{
public:
    /// `seeds` are peer addresses to contact while no other instance is known. `random_seed` makes
    /// the choice of peers repeatable in tests.
    member_table(member_entry own, std::vector<std::string> seeds, membership_settings settings,
                 std::uint32_t random_seed);

    /// Returns the entry of this incarnation.
    [[nodiscard]] const member_entry& own() const { return own_; }

    /// Marks this instance as draining. The change spreads with the next rounds.
    void set_draining();

    /// Sets the configuration that is in force on this instance.
    void set_config(std::int64_t term, std::int64_t version);

    /// Replaces the seeds, e.g. by addresses that the platform lists.
    void set_seeds(std::vector<std::string> seeds);

    /// Starts a round: advances the own heartbeat, removes entries without progress for
    /// `remove_after` or the suspicion timeout, whichever is longer, and returns the peer addresses
    /// to exchange digests with. Call it every `interval()`.
    std::vector<std::string> begin_round(time_ms now);

    /// Returns the time between two rounds.
    [[nodiscard]] time_ms interval() const { return settings_.interval; }

    /// Records whether an exchange with a peer address succeeded. After one failure the next round
    /// contacts the peer again. After two in a row the peer is reported unreachable, and the report
    /// spreads. An instance that receives such a report about itself refutes it by a higher
    /// heartbeat.
    void record_exchange(std::string_view peer_address, bool succeeded, time_ms now);

    /// Makes the digest to send to a peer, as request or as response.
    [[nodiscard]] gossip_digest make_digest(time_ms now);

    /// Merges a received digest. Entries with this instance's name and peer address but another
    /// incarnation are predecessors, because this process has bound the address.
    void merge(const gossip_digest& digest, time_ms now);

    /// Merges a request and returns the response, with the details that the request asks for.
    [[nodiscard]] gossip_digest answer(const gossip_digest& request, time_ms now);

    /// Returns the time without progress after which an entry is suspected, at the current fleet
    /// size.
    [[nodiscard]] time_ms suspicion_timeout() const { return suspicion_timeout_; }

    /// Returns the time after which an entry that was reported unreachable is suspected, unless it
    /// refutes the report.
    [[nodiscard]] time_ms refutation_timeout() const { return refutation_timeout_; }

    /// Returns the other incarnations, ordered by name, without superseded ones.
    [[nodiscard]] std::vector<member_view> members(time_ms now) const;

    /// Returns the entry of an incarnation, if known and not superseded.
    [[nodiscard]] std::optional<member_view> find(std::string_view incarnation, time_ms now) const;

    /// Returns the peer address of an incarnation, or an empty string if it is unknown.
    [[nodiscard]] std::string peer_address_of(std::string_view incarnation) const;

    /// Returns whether a newer incarnation with the same instance and peer address is known. Only a
    /// hint: the termination proof that recovery needs is the successor's own bound peer address.
    [[nodiscard]] bool superseded(std::string_view incarnation) const;

    /// Returns the number of instances that are not suspected, this one included.
    [[nodiscard]] int live_instances(time_ms now) const;

    /// Returns the peer with the highest configuration above the own one, if any. Suspected peers
    /// are skipped.
    [[nodiscard]] std::optional<config_source> newer_config(time_ms now) const;

    /// Announced and received hints about available budget.
    [[nodiscard]] budget_hints& hints() { return hints_; }

    /// Returns the entry whose hint names the largest available amount of a budget. Suspected
    /// entries are skipped.
    [[nodiscard]] std::optional<member_entry> holder_of(std::string_view budget, time_ms now) const;

private:
    struct known_member {
        member_entry entry;
        time_ms last_progress{};
        int sends_left{0};         ///< digests in which the heartbeat still has priority
        int detail_sends_left{0};  ///< digests that still carry the details
        std::int64_t last_sent{0}; ///< value of `digests_made_` when last in a digest
        int failed_exchanges{0};   ///< in a row
        /// Reported unreachable, with no higher heartbeat received since.
        bool reported_unreachable{false};
        time_ms reported_at{};
        int unreachable_sends_left{0};
    };
    using member_ref = std::pair<member_id, known_member*>;
    struct unknown_member {
        member_heartbeat latest;
        time_ms first_seen_at{};
    };
    struct successor {
        std::int64_t started_ms{0};
    };

    [[nodiscard]] bool is_suspected(const known_member& member, time_ms now) const;
    [[nodiscard]] int transmit_limit() const;
    void update_timeouts();
    void merge_heartbeat(const member_heartbeat& received, time_ms now);
    void add_refutations(gossip_digest& digest, const gossip_digest& request) const;
    void merge_unreachable(const member_heartbeat& report, time_ms now);
    void mark_unreachable(known_member& member, time_ms now);
    void add_unreachable(gossip_digest& digest, member_id id, known_member& member) const;
    void add_missing_details(gossip_digest& digest, const gossip_digest& request, time_ms now);
    [[nodiscard]] std::vector<const std::string*> addresses_to_retry(time_ms now) const;
    void merge_unknown(const member_heartbeat& received, time_ms now);
    void merge_detail(const member_entry& detail, time_ms now);
    void supersede_predecessor(const member_entry& predecessor);
    void insert(const member_entry& detail, time_ms now);
    bool superseded_by_known(const member_entry& detail);
    void supersede(std::string_view older, std::int64_t started_ms);
    void schedule_requested_details(const std::vector<member_id>& ids);
    void add_heartbeats(gossip_digest& digest, std::vector<member_ref> live);
    void add_details(gossip_digest& digest, std::vector<known_member*> new_members);
    void add_detail_requests(gossip_digest& digest);
    void add_detail(gossip_digest& digest, const member_entry& entry) const;
    void add_requested_details(gossip_digest& digest, const gossip_digest& request) const;
    void remove_dead(time_ms now);

    member_entry own_;
    member_id own_id_{0};
    std::vector<std::string> seeds_;
    membership_settings settings_;
    std::mt19937 random_;
    std::map<member_id, known_member> members_;
    std::map<member_id, unknown_member> unknown_; ///< heartbeat received, details missing
    std::map<member_id, successor> superseded_;   ///< by id of the superseded incarnation
    time_ms suspicion_timeout_;                   ///< for the current fleet size
    time_ms refutation_timeout_;                  ///< for the current fleet size
    int own_detail_sends_left_{0};
    std::int64_t digests_made_{0};
    budget_hints hints_;
};

} // namespace jujubevalve
