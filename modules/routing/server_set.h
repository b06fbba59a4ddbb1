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

/// State of a server's circuit breaker.
enum class breaker_state {
    closed,    ///< takes requests
    open,      ///< suspected; takes none until the probe interval has passed
    half_open, ///< one probe request is under way
};

/// Settings of a server_set.
struct server_set_options {
    int failures_to_open{3};      ///< consecutive failures that make a server suspected
    time_ms probe_interval{2000}; ///< doubled after each failed probe
    time_ms max_probe_interval{30'000};
    time_ms report_max_age{5000}; ///< after this age a report counts as the mean
    /// Weight of an own request in flight. A router knows its own part at once, while reports lag;
    /// see the figures in docs/requests.md.
    double own_weight{4};
    std::int64_t buckets_per_server{8}; ///< affinity buckets; each keeps its rendezvous winner
};

/// Index of a server within a server_set; changes with set_servers().
using server_index = std::uint32_t;

/// Load and availability of the servers of one server list. Candidates are the servers that are not
/// leaving (by table, instance list or report) and not suspected. Costs: a request, an answer and a
/// report take O(1), except for the first lookup of an affinity bucket after the candidates
/// changed, which compares all candidates once.
class server_set
{
public:
    explicit server_set(server_set_options options = {});

    /// Takes over the table's servers; keeps the state of those that stay. O(servers).
    void set_servers(const std::vector<backend_server>& servers);

    /// The platform's list says that the server is leaving, or no longer says so.
    void set_listed_leaving(std::string_view name, bool leaving);

    /// Takes over a load report; one that is older than the last is ignored.
    void set_report(std::string_view name, const load_report& report);

    /// A request was handed to the server, and later it ended there.
    void add_in_flight(server_index server);
    void remove_in_flight(server_index server);

    /// The server answered, or a request to it failed.
    void succeeded(server_index server);
    void failed(server_index server, time_ms now);

    /// A request ended without showing whether the server works. A probe becomes due again.
    void ended_without_verdict(server_index server, time_ms now);

    /// A suspected server whose probe is due; it becomes half open. Empty if there is none.
    [[nodiscard]] std::optional<server_index> take_probe(time_ms now);

    /// Index of a server; empty if it is not in the table.
    [[nodiscard]] std::optional<server_index> find(std::string_view name) const;

    [[nodiscard]] const backend_server& row(server_index server) const;
    [[nodiscard]] breaker_state breaker(server_index server) const;
    [[nodiscard]] bool is_candidate(server_index server) const;
    [[nodiscard]] const std::vector<server_index>& candidates() const { return candidates_; }
    [[nodiscard]] std::int64_t own_in_flight(server_index server) const;
    [[nodiscard]] std::size_t size() const { return servers_.size(); }

    /// Sum of the candidates' slots.
    [[nodiscard]] std::int64_t slots() const { return slots_; }

    /// Load of a server per slot: the last report, drawn towards the mean report with its age, plus
    /// `own_weight` x own requests in flight.
    [[nodiscard]] double load(server_index server, time_ms now) const;

    /// Load of all candidates per slot, from their last reports.
    [[nodiscard]] double mean_load() const;

    /// The last reported load per slot alone, without age and own requests.
    [[nodiscard]] double reported_load(server_index server) const;

    /// The candidate that wins the rendezvous for the affinity key; empty if there is no candidate.
    [[nodiscard]] std::optional<server_index> affinity_server(std::uint64_t affinity);

private:
    struct server_state {
        backend_server row;
        std::uint64_t hash{0};
        bool listed_leaving{false};
        load_report report;
        bool has_report{false};
        std::int64_t own{0}; ///< own requests in flight
        breaker_state breaker{breaker_state::closed};
        int failures{0};
        time_ms probe_interval{};
        time_ms probe_at{};
        std::optional<std::size_t> position; ///< in candidates_
    };

    void refresh(server_index server);
    void enter(server_index server);
    void leave(server_index server);
    void open(server_index server, time_ms now, time_ms interval);
    void rebuild_buckets();
    [[nodiscard]] server_index rendezvous(std::uint64_t bucket) const;
    void add_load(const server_state& state, double sign);
    [[nodiscard]] static double reported(const server_state& state);
    [[nodiscard]] static bool is_leaving(const server_state& state);
    [[nodiscard]] double contribution(const server_state& state) const;

    server_set_options options_;
    std::vector<server_state> servers_;
    std::map<std::string, server_index, std::less<>> by_name_;
    std::vector<server_index> candidates_;
    std::set<std::pair<time_ms, server_index>> probes_;
    std::vector<std::pair<std::uint64_t, server_index>> buckets_; ///< generation and winner
    std::uint64_t generation_{1};
    std::int64_t slots_{0};
    double load_sum_{0};   ///< contributions of the candidates
    double report_sum_{0}; ///< reported part of it
};

} // namespace jujubevalve
