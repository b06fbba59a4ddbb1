#pragma once

#include "config/backend_server.h"
#include "core/time_ms.h"
#include "routing/load_report.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// State of the circuit breaker of one server.
enum class breaker_state {
    closed,    ///< takes requests
    open,      ///< suspected: takes no request until the probe interval has passed
    half_open, ///< one probe request is in flight
};

/// Settings of a server_set.
struct server_set_options {
    int failures_to_open{3};      ///< consecutive failures after which a server is suspected
    time_ms probe_interval{2000}; ///< doubled after each failed probe
    time_ms max_probe_interval{30'000};
    time_ms report_max_age{5000}; ///< beyond this age, load() uses the mean report instead
    /// Weight of a request that this router has in flight, relative to a reported request. A router
    /// knows its own requests at once, while reports lag; see the figures in docs/requests.md.
    double own_in_flight_weight{4};
    std::int64_t buckets_per_server{8}; ///< affinity buckets; each caches its rendezvous winner
};

/// Index of a server within a server_set; valid until the next set_servers().
using server_index = std::uint32_t;

/// Load and availability of the servers of one server list. Candidates are the servers that are
/// neither suspected nor leaving according to the pools table, the platform's instance list or
/// their own load report. The start of a request, its end and a report each take O(1); only the
/// first lookup of an affinity bucket after a change of the candidates compares all candidates.
class server_set
{
public:
    explicit server_set(server_set_options options = {});

    /// Replaces the server list; keeps the state of servers that are in both lists. O(servers).
    void set_servers(const std::vector<backend_server>& servers);

    /// Records whether the platform's instance list marks the server as leaving.
    void set_listed_leaving(std::string_view name, bool leaving);

    /// Records a load report; ignores one that is older than the last.
    void set_report(std::string_view name, const load_report& report);

    /// Counts the start and the end of a request of this router at the server.
    void add_in_flight(server_index server);
    void remove_in_flight(server_index server);

    /// Records that the server answered, which closes its circuit breaker, or that a request to it
    /// failed, which can open it.
    void record_success(server_index server);
    void record_failure(server_index server, time_ms now);

    /// Records that a request ended without showing whether the server works. If it was a probe,
    /// another one is scheduled.
    void record_inconclusive(server_index server, time_ms now);

    /// Returns a suspected server whose probe is due and makes it half open. Empty if there is
    /// none.
    [[nodiscard]] std::optional<server_index> start_due_probe(time_ms now);

    /// Returns the index of a server; empty if it is not in the list.
    [[nodiscard]] std::optional<server_index> find(std::string_view name) const;

    [[nodiscard]] const backend_server& row(server_index server) const;
    [[nodiscard]] breaker_state breaker(server_index server) const;
    [[nodiscard]] bool is_candidate(server_index server) const;
    [[nodiscard]] const std::vector<server_index>& candidates() const { return candidates_; }
    [[nodiscard]] std::int64_t own_in_flight(server_index server) const;
    [[nodiscard]] std::size_t size() const { return servers_.size(); }

    /// Returns the sum of the candidates' slots.
    [[nodiscard]] std::int64_t slots() const { return candidate_slots_; }

    /// Returns the load of a server per slot: a weighted mean of its last report and the mean
    /// report, whose weight grows with the age of the report, plus `own_in_flight_weight` x the
    /// requests that this router has in flight there.
    [[nodiscard]] double load(server_index server, time_ms now) const;

    /// Returns the load of all candidates per slot: their last reports regardless of age, plus
    /// `own_in_flight_weight` x the requests that this router has in flight.
    [[nodiscard]] double mean_load() const;

    /// Returns the last reported load per slot, regardless of its age and of own requests.
    [[nodiscard]] double reported_load(server_index server) const;

    /// Returns the rendezvous hashing winner for the affinity key; empty if there is no candidate.
    [[nodiscard]] std::optional<server_index> affinity_server(std::uint64_t affinity_key);

private:
    struct server_state {
        backend_server row;
        std::uint64_t hash{0};
        bool listed_leaving{false};
        load_report report;
        bool has_report{false};
        std::int64_t own_requests{0}; ///< requests in flight from this router
        breaker_state breaker{breaker_state::closed};
        int consecutive_failures{0};
        time_ms probe_interval{};
        time_ms next_probe_at{};             ///< valid while the breaker is open
        std::optional<std::size_t> position; ///< index in candidates_; empty if not a candidate
    };

    void update_candidacy(server_index server);
    void add_candidate(server_index server);
    void remove_candidate(server_index server);
    void open_breaker(server_index server, time_ms now, time_ms interval);
    void rebuild_buckets();
    [[nodiscard]] server_index rendezvous_winner(std::uint64_t bucket) const;
    void add_to_sums(const server_state& state, double sign);
    [[nodiscard]] static double reported_requests(const server_state& state);
    [[nodiscard]] static bool is_leaving(const server_state& state);
    [[nodiscard]] double weighted_load(const server_state& state) const;

    server_set_options options_;
    std::vector<server_state> servers_;
    std::map<std::string, server_index, std::less<>> index_by_name_;
    std::vector<server_index> candidates_;
    std::set<std::pair<time_ms, server_index>> scheduled_probes_; ///< of servers with open breaker
    std::vector<std::pair<std::uint64_t, server_index>> buckets_; ///< generation and winner
    std::uint64_t candidate_generation_{1}; ///< incremented when the candidates change
    std::int64_t candidate_slots_{0};
    double load_sum_{0};     ///< weighted load of the candidates
    double reported_sum_{0}; ///< reported requests of the candidates
};

} // namespace jujubevalve
