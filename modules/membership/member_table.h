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

/// An entry together with this incarnation's opinion of it.
struct member_view {
    member_entry entry;
    bool suspected{false};
    time_ms last_progress{}; ///< when this incarnation last saw the heartbeat advance

    friend bool operator==(const member_view&, const member_view&) = default;
};

/// A peer that has a newer configuration.
struct config_source {
    std::int64_t term{0};
    std::int64_t version{0};
    std::string peer_address;

    friend bool operator==(const config_source&, const config_source&) = default;
};

/// This incarnation's view of the fleet, kept up to date by gossip. It is a hint only: no guarantee
/// may depend on it. Pure: the caller passes the time and carries the digests. Not thread-safe.
class member_table
{
public:
    /// `seeds` are peer addresses to ask while nobody else is known. `random_seed` makes the
    /// choice of peers repeatable in tests.
    member_table(member_entry own, std::vector<std::string> seeds, membership_settings settings,
                 std::uint32_t random_seed);

    /// The entry of this incarnation.
    [[nodiscard]] const member_entry& own() const { return own_; }

    /// States that this instance takes no new work. Spreads with the next rounds.
    void set_draining();

    /// States the configuration that is in force here.
    void set_config(std::int64_t term, std::int64_t version);

    /// Replaces the seeds, for instance by addresses from the platform's list.
    void set_seeds(std::vector<std::string> seeds);

    /// Starts a round: advances the own heartbeat, removes long-dead entries and chooses the peer
    /// addresses to exchange digests with. Call it every `interval()`.
    std::vector<std::string> begin_round(time_ms now);

    /// The time between two rounds.
    [[nodiscard]] time_ms interval() const { return settings_.interval; }

    /// Notes whether an exchange with a peer address succeeded. After a failure the next round asks
    /// the peer again; after a second one its entry is doubted and the doubt spreads. An instance
    /// that hears of a doubt about itself refutes it by a higher heartbeat.
    void note_exchange(std::string_view peer_address, bool succeeded, time_ms now);

    /// The digest to send to a peer, as request or as answer.
    [[nodiscard]] gossip_digest make_digest(time_ms now);

    /// Takes up a digest. Entries of this instance and peer address under another incarnation are
    /// predecessors, because this process holds the address.
    void merge(const gossip_digest& digest, time_ms now);

    /// Merges a request and makes the answer, with the details that the request wants.
    [[nodiscard]] gossip_digest answer(const gossip_digest& request, time_ms now);

    /// How long an entry may go without progress before it is suspected, at the current size.
    [[nodiscard]] time_ms suspicion_timeout() const { return suspicion_timeout_; }

    /// How long a doubted entry has to refute the doubt before it is suspected.
    [[nodiscard]] time_ms refutation_timeout() const { return refutation_timeout_; }

    /// Other incarnations in the order of their names; superseded ones are not in the table.
    [[nodiscard]] std::vector<member_view> members(time_ms now) const;

    /// The entry of an incarnation, if known and not superseded.
    [[nodiscard]] std::optional<member_view> find(std::string_view incarnation, time_ms now) const;

    /// The peer address of an incarnation, or an empty text.
    [[nodiscard]] std::string peer_address_of(std::string_view incarnation) const;

    /// Whether a newer incarnation of the same instance and peer address was heard of. As a hint
    /// only; the evidence that recovery needs is the successor's own bound peer address.
    [[nodiscard]] bool superseded(std::string_view incarnation) const;

    /// Number of instances that are not suspected, this one included. At least 1.
    [[nodiscard]] int live_instances(time_ms now) const;

    /// The non-suspected peer with the highest configuration above the own one, if any.
    [[nodiscard]] std::optional<config_source> newer_config(time_ms now) const;

    /// Own and heard budget availability.
    [[nodiscard]] budget_hints& hints() { return hints_; }

    /// The entry that is said to have the most of a budget, if it is not suspected.
    [[nodiscard]] std::optional<member_entry> holder_of(std::string_view budget, time_ms now) const;

private:
    struct known_member {
        member_entry entry;
        time_ms last_progress{};
        int sends_left{0};        ///< digests that still hold the heartbeat before all others
        int detail_sends_left{0}; ///< digests that still hold the details unasked
        std::int64_t last_sent{0};
        int failed_exchanges{0}; ///< in a row
        bool doubted{false};     ///< nobody has seen a heartbeat above the present one since
        time_ms doubted_at{};
        int doubt_sends_left{0};
    };
    using named_member = std::pair<member_id, known_member*>;
    struct unknown_member {
        heartbeat_item item;
        time_ms heard_at{};
    };
    struct successor {
        std::int64_t started_ms{0};
    };

    [[nodiscard]] bool is_suspected(const known_member& member, time_ms now) const;
    [[nodiscard]] int rumour_sends() const;
    void update_timeouts();
    void merge_heartbeat(const heartbeat_item& item, time_ms now);
    void add_refutations(gossip_digest& digest, const gossip_digest& request) const;
    void merge_doubt(const heartbeat_item& doubt, time_ms now);
    void doubt(known_member& member, time_ms now);
    void add_doubt(gossip_digest& digest, member_id id, known_member& member) const;
    void add_missing_details(gossip_digest& digest, const gossip_digest& request, time_ms now);
    [[nodiscard]] std::vector<const std::string*> failed_once(time_ms now) const;
    void merge_unknown(const heartbeat_item& item, time_ms now);
    void merge_detail(const member_entry& detail, time_ms now);
    void outlive(const member_entry& older);
    void insert(const member_entry& detail, time_ms now);
    bool yields_to_present(const member_entry& detail);
    void supersede(std::string_view older, std::int64_t started_ms);
    void note_wanted(const std::vector<member_id>& wanted);
    void add_heartbeats(gossip_digest& digest, std::vector<named_member> chosen);
    void add_details(gossip_digest& digest, std::vector<known_member*> news);
    void add_wanted(gossip_digest& digest);
    void add_detail(gossip_digest& digest, const member_entry& entry) const;
    void add_wanted_details(gossip_digest& digest, const gossip_digest& request) const;
    void forget_dead(time_ms now);

    member_entry own_;
    member_id own_id_{0};
    std::vector<std::string> seeds_;
    membership_settings settings_;
    std::mt19937 random_;
    std::map<member_id, known_member> members_;
    std::map<member_id, unknown_member> unknown_; ///< heard of without details
    std::map<member_id, successor> superseded_;
    time_ms suspicion_timeout_;  ///< for the present size
    time_ms refutation_timeout_; ///< for the present size
    int own_detail_sends_left_{0};
    std::int64_t digests_made_{0};
    budget_hints hints_;
};

} // namespace jujubevalve
