#include "routing/server_set.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Mixes two hashes; the finalizer of splitmix64.
std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    auto z = a ^ (b * 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

std::int64_t slots_of(const backend_server& row)
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
    std::vector<server_state> next;
    next.reserve(servers.size());
    for (const auto& row : servers) {
        const auto known = find(row.name);
        auto state = known ? std::move(servers_[*known]) : server_state{};
        state.row = row;
        state.hash = hash64(row.name);
        state.position.reset();
        next.push_back(std::move(state));
    }
    servers_ = std::move(next);
    by_name_.clear();
    candidates_.clear();
    probes_.clear();
    slots_ = 0;
    load_sum_ = 0;
    report_sum_ = 0;
    for (server_index i = 0; i < servers_.size(); ++i) {
        by_name_.emplace(servers_[i].row.name, i);
        if (servers_[i].breaker == breaker_state::open) {
            probes_.emplace(servers_[i].probe_at, i);
        }
        refresh(i);
    }
    rebuild_buckets();
}

void server_set::set_listed_leaving(std::string_view name, bool leaving)
{
    if (const auto server = find(name)) {
        servers_[*server].listed_leaving = leaving;
        refresh(*server);
    }
}

void server_set::set_report(std::string_view name, const load_report& report)
{
    const auto server = find(name);
    if (!server) {
        return;
    }
    auto& state = servers_[*server];
    if (state.has_report && report.taken_at < state.report.taken_at) {
        return;
    }
    add_load(state, -1);
    state.report = report;
    state.has_report = true;
    add_load(state, 1);
    refresh(*server);
}

void server_set::add_in_flight(server_index server)
{
    auto& state = servers_[server];
    add_load(state, -1);
    ++state.own;
    add_load(state, 1);
}

void server_set::remove_in_flight(server_index server)
{
    auto& state = servers_[server];
    add_load(state, -1);
    state.own = std::max<std::int64_t>(0, state.own - 1);
    add_load(state, 1);
}

void server_set::succeeded(server_index server)
{
    auto& state = servers_[server];
    state.failures = 0;
    if (state.breaker != breaker_state::closed) {
        probes_.erase({state.probe_at, server});
        state.breaker = breaker_state::closed;
        refresh(server);
    }
}

void server_set::failed(server_index server, time_ms now)
{
    auto& state = servers_[server];
    ++state.failures;
    if (state.breaker == breaker_state::half_open) {
        open(server, now, std::min(state.probe_interval * 2, options_.max_probe_interval));
    } else if (state.breaker == breaker_state::closed &&
               state.failures >= options_.failures_to_open) {
        open(server, now, options_.probe_interval);
    }
}

void server_set::ended_without_verdict(server_index server, time_ms now)
{
    if (servers_[server].breaker == breaker_state::half_open) {
        open(server, now, servers_[server].probe_interval);
    }
}

void server_set::open(server_index server, time_ms now, time_ms interval)
{
    auto& state = servers_[server];
    state.breaker = breaker_state::open;
    state.probe_interval = interval;
    state.probe_at = now + interval;
    probes_.emplace(state.probe_at, server);
    refresh(server);
}

std::optional<server_index> server_set::take_probe(time_ms now)
{
    for (auto next = probes_.begin(); next != probes_.end() && next->first <= now;) {
        const auto server = next->second;
        auto& state = servers_[server];
        if (is_leaving(state)) {
            // Asked again later; it may come back.
            next = probes_.erase(next);
            state.probe_at = now + options_.max_probe_interval;
            probes_.emplace(state.probe_at, server);
            continue;
        }
        probes_.erase(next);
        state.breaker = breaker_state::half_open;
        return server;
    }
    return std::nullopt;
}

std::optional<server_index> server_set::find(std::string_view name) const
{
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? std::nullopt : std::optional{found->second};
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
    return servers_[server].own;
}

bool server_set::is_leaving(const server_state& state)
{
    return state.row.leaving || state.listed_leaving || state.report.leaving;
}

double server_set::reported(const server_state& state)
{
    return static_cast<double>(state.report.running + state.report.waiting);
}

double server_set::contribution(const server_state& state) const
{
    return reported(state) + options_.own_weight * static_cast<double>(state.own);
}

void server_set::add_load(const server_state& state, double sign)
{
    if (state.position) {
        load_sum_ += sign * contribution(state);
        report_sum_ += sign * reported(state);
    }
}

double server_set::load(server_index server, time_ms now) const
{
    const auto& state = servers_[server];
    const auto slots = static_cast<double>(slots_of(state.row));
    const auto age = static_cast<double>((now - state.report.taken_at).count());
    const auto limit = static_cast<double>(options_.report_max_age.count());
    const auto weight = state.has_report ? std::clamp(1.0 - age / limit, 0.0, 1.0) : 0.0;
    const auto mean = slots_ == 0 ? 0.0 : report_sum_ / static_cast<double>(slots_);
    const auto own = options_.own_weight * static_cast<double>(state.own) / slots;
    return weight * reported_load(server) + (1.0 - weight) * mean + own;
}

double server_set::mean_load() const
{
    return slots_ == 0 ? 0.0 : load_sum_ / static_cast<double>(slots_);
}

double server_set::reported_load(server_index server) const
{
    const auto& state = servers_[server];
    return reported(state) / static_cast<double>(slots_of(state.row));
}

std::optional<server_index> server_set::affinity_server(std::uint64_t affinity)
{
    if (candidates_.empty()) {
        return std::nullopt;
    }
    const auto bucket = affinity & (buckets_.size() - 1);
    auto& [generation, winner] = buckets_[bucket];
    if (generation != generation_) {
        winner = rendezvous(bucket);
        generation = generation_;
    }
    return winner;
}

server_index server_set::rendezvous(std::uint64_t bucket) const
{
    return *std::max_element(
        candidates_.begin(), candidates_.end(), [&](server_index a, server_index b) {
            return mix(servers_[a].hash, bucket) < mix(servers_[b].hash, bucket);
        });
}

void server_set::refresh(server_index server)
{
    const auto& state = servers_[server];
    const bool wanted = state.breaker == breaker_state::closed && !is_leaving(state);
    if (wanted && !state.position) {
        enter(server);
    } else if (!wanted && state.position) {
        leave(server);
    }
}

void server_set::enter(server_index server)
{
    auto& state = servers_[server];
    state.position = candidates_.size();
    candidates_.push_back(server);
    slots_ += slots_of(state.row);
    add_load(state, 1);
    ++generation_;
}

void server_set::leave(server_index server)
{
    auto& state = servers_[server];
    add_load(state, -1);
    const auto last = candidates_.back();
    candidates_[*state.position] = last;
    servers_[last].position = *state.position;
    candidates_.pop_back();
    state.position.reset();
    slots_ -= slots_of(state.row);
    ++generation_;
}

void server_set::rebuild_buckets()
{
    const auto wanted =
        static_cast<std::size_t>(options_.buckets_per_server) * std::max<std::size_t>(1, size());
    std::size_t count = 1;
    while (count < wanted) {
        count *= 2;
    }
    // Generation 0 never matches, so that each bucket is computed when it is first used.
    buckets_.assign(count, {0, 0});
    ++generation_;
}

} // namespace jujubevalve
