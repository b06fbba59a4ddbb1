#include "routing/server_set.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Combines two hashes with the finalizer of splitmix64.
std::uint64_t mix_hashes(std::uint64_t a, std::uint64_t b)
{
    auto z = a ^ (b * 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

std::int64_t slot_count(const backend_server& row)
{
    return std::max<std::int64_t>(1, row.slots);
}
} // namespace

server_set::server_set(server_set_options options)
    : options_{options}
{
}

void server_set::set_servers(const std::vector<backend_server>& servers)
{
    std::vector<server_state> new_servers;
    new_servers.reserve(servers.size());
    for (const auto& row : servers) {
        const auto existing = find(row.name);
        auto state = existing ? std::move(servers_[*existing]) : server_state{};
        state.row = row;
        state.hash = hash64(row.name);
        state.position.reset();
        new_servers.push_back(std::move(state));
    }
    servers_ = std::move(new_servers);
    index_by_name_.clear();
    candidates_.clear();
    scheduled_probes_.clear();
    candidate_slots_ = 0;
    load_sum_ = 0;
    reported_sum_ = 0;
    for (server_index i = 0; i < servers_.size(); ++i) {
        index_by_name_.emplace(servers_[i].row.name, i);
        if (servers_[i].breaker == breaker_state::open) {
            scheduled_probes_.emplace(servers_[i].next_probe_at, i);
        }
        update_candidacy(i);
    }
    rebuild_buckets();
}

void server_set::set_listed_leaving(std::string_view name, bool leaving)
{
    if (const auto server = find(name)) {
        servers_[*server].listed_leaving = leaving;
        update_candidacy(*server);
    }
}

void server_set::set_report(std::string_view name, const load_report& report)
{
    const auto server = find(name);
    if (!server) {
        return;
    }
    auto& state = servers_[*server];
    if (state.has_report && report.measured_at < state.report.measured_at) {
        return;
    }
    add_to_sums(state, -1);
    state.report = report;
    state.has_report = true;
    add_to_sums(state, 1);
    update_candidacy(*server);
}

void server_set::add_in_flight(server_index server)
{
    auto& state = servers_[server];
    add_to_sums(state, -1);
    ++state.own_requests;
    add_to_sums(state, 1);
}

void server_set::remove_in_flight(server_index server)
{
    auto& state = servers_[server];
    add_to_sums(state, -1);
    state.own_requests = std::max<std::int64_t>(0, state.own_requests - 1);
    add_to_sums(state, 1);
}

void server_set::record_success(server_index server)
{
    auto& state = servers_[server];
    state.consecutive_failures = 0;
    if (state.breaker != breaker_state::closed) {
        scheduled_probes_.erase({state.next_probe_at, server});
        state.breaker = breaker_state::closed;
        update_candidacy(server);
    }
}

void server_set::record_failure(server_index server, time_ms now)
{
    auto& state = servers_[server];
    ++state.consecutive_failures;
    if (state.breaker == breaker_state::half_open) {
        open_breaker(server, now, std::min(state.probe_interval * 2, options_.max_probe_interval));
    } else if (state.breaker == breaker_state::closed &&
               state.consecutive_failures >= options_.failures_to_open) {
        open_breaker(server, now, options_.probe_interval);
    }
}

void server_set::record_inconclusive(server_index server, time_ms now)
{
    if (servers_[server].breaker == breaker_state::half_open) {
        open_breaker(server, now, servers_[server].probe_interval);
    }
}

void server_set::open_breaker(server_index server, time_ms now, time_ms interval)
{
    auto& state = servers_[server];
    state.breaker = breaker_state::open;
    state.probe_interval = interval;
    state.next_probe_at = now + interval;
    scheduled_probes_.emplace(state.next_probe_at, server);
    update_candidacy(server);
}

std::optional<server_index> server_set::start_due_probe(time_ms now)
{
    for (auto next = scheduled_probes_.begin();
         next != scheduled_probes_.end() && next->first <= now;) {
        const auto server = next->second;
        auto& state = servers_[server];
        if (is_leaving(state)) {
            // Check again later, because the server may stop leaving.
            next = scheduled_probes_.erase(next);
            state.next_probe_at = now + options_.max_probe_interval;
            scheduled_probes_.emplace(state.next_probe_at, server);
            continue;
        }
        scheduled_probes_.erase(next);
        state.breaker = breaker_state::half_open;
        return server;
    }
    return std::nullopt;
}

std::optional<server_index> server_set::find(std::string_view name) const
{
    const auto found = index_by_name_.find(name);
    return found == index_by_name_.end() ? std::nullopt : std::optional{found->second};
}

const backend_server& server_set::row(server_index server) const
{
    return servers_[server].row;
}

breaker_state server_set::breaker(server_index server) const
{
    return servers_[server].breaker;
}

bool server_set::is_candidate(server_index server) const
{
    return servers_[server].position.has_value();
}

std::int64_t server_set::own_in_flight(server_index server) const
{
    return servers_[server].own_requests;
}

bool server_set::is_leaving(const server_state& state)
{
    return state.row.leaving || state.listed_leaving || state.report.leaving;
}

double server_set::reported_requests(const server_state& state)
{
    return static_cast<double>(state.report.running + state.report.waiting);
}

double server_set::weighted_load(const server_state& state) const
{
    return reported_requests(state) +
           options_.own_in_flight_weight * static_cast<double>(state.own_requests);
}

void server_set::add_to_sums(const server_state& state, double sign)
{
    if (state.position) {
        load_sum_ += sign * weighted_load(state);
        reported_sum_ += sign * reported_requests(state);
    }
}

double server_set::load(server_index server, time_ms now) const
{
    const auto& state = servers_[server];
    const auto slots = static_cast<double>(slot_count(state.row));
    const auto age_ms = static_cast<double>((now - state.report.measured_at).count());
    const auto max_age_ms = static_cast<double>(options_.report_max_age.count());
    const auto report_weight =
        state.has_report ? std::clamp(1.0 - age_ms / max_age_ms, 0.0, 1.0) : 0.0;
    const auto mean_reported =
        candidate_slots_ == 0 ? 0.0 : reported_sum_ / static_cast<double>(candidate_slots_);
    const auto own_load =
        options_.own_in_flight_weight * static_cast<double>(state.own_requests) / slots;
    return report_weight * reported_load(server) + (1.0 - report_weight) * mean_reported + own_load;
}

double server_set::mean_load() const
{
    return candidate_slots_ == 0 ? 0.0 : load_sum_ / static_cast<double>(candidate_slots_);
}

double server_set::reported_load(server_index server) const
{
    const auto& state = servers_[server];
    return reported_requests(state) / static_cast<double>(slot_count(state.row));
}

std::optional<server_index> server_set::affinity_server(std::uint64_t affinity_key)
{
    if (candidates_.empty()) {
        return std::nullopt;
    }
    const auto bucket = affinity_key & (buckets_.size() - 1);
    auto& [generation, winner] = buckets_[bucket];
    if (generation != candidate_generation_) {
        winner = rendezvous_winner(bucket);
        generation = candidate_generation_;
    }
    return winner;
}

server_index server_set::rendezvous_winner(std::uint64_t bucket) const
{
    return *std::max_element(
        candidates_.begin(), candidates_.end(), [&](server_index a, server_index b) {
            return mix_hashes(servers_[a].hash, bucket) < mix_hashes(servers_[b].hash, bucket);
        });
}

void server_set::update_candidacy(server_index server)
{
    const auto& state = servers_[server];
    const bool eligible = state.breaker == breaker_state::closed && !is_leaving(state);
    if (eligible && !state.position) {
        add_candidate(server);
    } else if (!eligible && state.position) {
        remove_candidate(server);
    }
}

void server_set::add_candidate(server_index server)
{
    auto& state = servers_[server];
    state.position = candidates_.size();
    candidates_.push_back(server);
    candidate_slots_ += slot_count(state.row);
    add_to_sums(state, 1);
    ++candidate_generation_;
}

void server_set::remove_candidate(server_index server)
{
    auto& state = servers_[server];
    add_to_sums(state, -1);
    const auto last = candidates_.back();
    candidates_[*state.position] = last;
    servers_[last].position = *state.position;
    candidates_.pop_back();
    state.position.reset();
    candidate_slots_ -= slot_count(state.row);
    ++candidate_generation_;
}

void server_set::rebuild_buckets()
{
    const auto min_count =
        static_cast<std::size_t>(options_.buckets_per_server) * std::max<std::size_t>(1, size());
    std::size_t count = 1;
    while (count < min_count) {
        count *= 2;
    }
    // Generation 0 never matches candidate_generation_, so that each bucket is computed on first
    // use.
    buckets_.assign(count, {0, 0});
    ++candidate_generation_;
}

} // namespace jujubevalve
