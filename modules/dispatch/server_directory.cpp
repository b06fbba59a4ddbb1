#include "dispatch/server_directory.h"

#include "dispatch/fleet_notices.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jujubevalve
{

namespace
{
/// A live server registers again within about 2 s after the registry becomes reachable.
constexpr time_ms registration_grace{2200};
/// Time without a successful read of the registry from which registrations may have lapsed because
/// of an outage: a server's lapses after three heartbeats of 1.2 s, one of which may have been due
/// when the outage began. A read takes up to 1.7 s without an outage.
constexpr time_ms min_lapse_time{2200};
/// Removed servers that are remembered.
constexpr std::size_t max_gone = 1024;
/// Incarnations remembered that have said that they leave.
constexpr std::size_t max_announced_ends = 1024;
/// Consecutive transport failures, and error responses, from which on a server is avoided.
constexpr int failures_before_avoidance = 2;
constexpr int errors_before_avoidance = 4;
/// Initial and max time for which a server is avoided; doubled with each further failure.
constexpr time_ms initial_avoidance{700};
constexpr time_ms max_avoidance{4000};
/// Ends of a warm-up that differ by less are those of the same one: they differ by the age that a
/// registration has when it is read, at most a heartbeat. Keeping the first one spares rewriting
/// the digest with each heartbeat.
constexpr time_ms same_warm_up{1200};
/// A server that refused as full gets requests again after this time.
constexpr time_ms refusal_backoff{60};

/// Whether an entry is of a later start of the server. Without incarnations only the address tells.
bool is_other_start(const server_entry& known, const server_entry& read)
{
    return known.incarnation != read.incarnation ||
           (read.incarnation == 0 && known.address != read.address);
}
} // namespace

void server_directory::replace_all(const std::vector<server_entry>& entries, time_ms now)
{
    std::set<std::string_view> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
    }
    for (auto& [id, registration] : servers_) {
        if (!listed.contains(id) && !registration.removed_at) {
            registration.removed_at = now;
        }
    }
    for (const auto& entry : entries) {
        put(entry, now);
    }
    expire(now);
}

void server_directory::put(const server_entry& entry, time_ms now)
{
    if (is_outdated(entry)) {
        return;
    }
    auto& registration = servers_[entry.id];
    const bool restarted = registration.state && is_other_start(registration.state->entry, entry);
    if (!registration.state || restarted) {
        registration.state = std::make_shared<server_state>();
        registration.state->has_announced_end =
            announced_ends_.contains(server_key(entry.id, entry.incarnation));
        registration.sequence = 0;
    }
    registration.sequence = std::max(registration.sequence, entry.sequence);
    const auto known_cold_until = registration.state->entry.cold_until;
    registration.state->entry = entry;
    if (entry.cold_until <= known_cold_until &&
        known_cold_until - entry.cold_until < same_warm_up && entry.cold_until != time_ms{}) {
        registration.state->entry.cold_until = known_cold_until;
    }
    registration.removed_at.reset();
    (void)now;
}

void server_directory::remove(std::string_view id, time_ms now)
{
    const auto found = servers_.find(id);
    if (found != servers_.end() && !found->second.removed_at) {
        found->second.removed_at = now;
    }
    expire(now);
}

void server_directory::note_registry_read(time_ms now)
{
    if (last_registry_read_ && now - *last_registry_read_ >= min_lapse_time) {
        last_outage_end_ = now;
    }
    last_registry_read_ = now;
}

void server_directory::expire(time_ms now)
{
    const bool in_outage = last_registry_read_ && now - *last_registry_read_ >= min_lapse_time;
    const bool in_grace = last_outage_end_ && now - *last_outage_end_ < registration_grace;
    if (in_outage || in_grace) {
        return;
    }
    for (auto server = servers_.begin(); server != servers_.end();) {
        const auto& [id, registration] = *server;
        if (!registration.removed_at) {
            ++server;
            continue;
        }
        if (gone_.size() >= max_gone) {
            gone_.erase(gone_.begin());
        }
        gone_[id] = {registration.state->entry.incarnation, registration.sequence, true};
        server = servers_.erase(server);
    }
}

void server_directory::begin_store_era(time_ms now)
{
    before_copy_ = gone_;
    for (const auto& [id, registration] : servers_) {
        before_copy_[id] = {registration.state->entry.incarnation, registration.sequence,
                            registration.removed_at.has_value()};
    }
    last_outage_end_ = now;
}

bool server_directory::is_outdated(const server_entry& entry) const
{
    const auto found = before_copy_.find(entry.id);
    if (found == before_copy_.end() || entry.sequence == 0 || entry.incarnation == 0 ||
        entry.incarnation != found->second.incarnation) {
        return false;
    }
    return entry.sequence < found->second.sequence ||
           (found->second.is_gone && entry.sequence == found->second.sequence);
}

std::vector<server_state*> server_directory::candidates(std::string_view service)
{
    std::vector<server_state*> found;
    for (auto& [id, registration] : servers_) {
        const auto& entry = registration.state->entry;
        if (entry.service == service && !registration.state->is_leaving() &&
            !evacuated_domains_.contains(entry.failure_domain)) {
            found.push_back(registration.state.get());
        }
    }
    return found;
}

std::vector<server_entry> server_directory::entries() const
{
    std::vector<server_entry> found;
    found.reserve(servers_.size());
    for (const auto& [id, registration] : servers_) {
        found.push_back(registration.state->entry);
    }
    return found;
}

server_state* server_directory::find(std::string_view id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.state.get();
}

void server_directory::started(std::string_view id, token_count prefill_tokens)
{
    if (auto* const state = find(id)) {
        ++state->own_running;
        ++state->sent_since_report;
        state->own_prefill_tokens += prefill_tokens;
    }
}

void server_directory::prompt_read(std::string_view id, token_count prefill_tokens)
{
    if (auto* const state = find(id)) {
        state->own_prefill_tokens =
            std::max<token_count>(0, state->own_prefill_tokens - prefill_tokens);
    }
}

void server_directory::ended(std::string_view id, server_verdict verdict, time_ms now)
{
    auto* const state = find(id);
    if (state == nullptr) {
        return;
    }
    state->own_running = std::max<std::int64_t>(0, state->own_running - 1);
    switch (verdict) {
    case server_verdict::good:
        state->consecutive_failures = 0;
        state->consecutive_errors = 0;
        state->avoid_until = time_ms{};
        break;
    case server_verdict::refused:
        state->full_until = now + refusal_backoff;
        break;
    case server_verdict::misdirected:
        state->avoid_until = now + max_avoidance;
        break;
    case server_verdict::bad_answer:
        ++state->consecutive_errors;
        if (state->consecutive_errors >= errors_before_avoidance) {
            avoid(*state, state->consecutive_errors - errors_before_avoidance, now);
        }
        break;
    case server_verdict::unreachable:
        ++state->consecutive_failures;
        if (state->consecutive_failures >= failures_before_avoidance) {
            avoid(*state, state->consecutive_failures - failures_before_avoidance, now);
        }
        break;
    case server_verdict::neutral:
        break;
    }
}

std::string server_directory::id_of(std::uint64_t key) const
{
    const auto found = std::find_if(servers_.begin(), servers_.end(), [key](const auto& item) {
        return server_key(item.first, item.second.state->entry.incarnation) == key;
    });
    return found == servers_.end() ? std::string{} : found->first;
}

void server_directory::avoid_crashed(std::uint64_t key, time_ms now)
{
    for (auto& [id, registration] : servers_) {
        auto& state = *registration.state;
        if (server_key(id, state.entry.incarnation) == key) {
            state.avoid_until = std::max(state.avoid_until, now + max_avoidance);
        }
    }
}

void server_directory::avoid(server_state& state, int doublings, time_ms now)
{
    const auto avoidance = initial_avoidance * (std::int64_t{1} << std::min(doublings, 5));
    state.avoid_until = now + std::min(avoidance, max_avoidance);
}

void server_directory::note_received(std::string_view id, time_ms now)
{
    if (auto* const state = find(id)) {
        state->last_received_at = now;
    }
}

bool server_directory::is_silent_since(std::string_view id, time_ms since)
{
    const auto* const state = find(id);
    return state == nullptr || state->last_received_at <= since;
}

void server_directory::reported(std::string_view id, const server_load& load, time_ms now)
{
    if (auto* const state = find(id)) {
        state->report = load;
        state->pace.add(load);
        state->report_received_at = now;
        state->sent_since_report = 0;
    }
}

bool server_directory::note_leaving(std::string_view id, std::int64_t incarnation, time_ms now)
{
    auto* const state = find(id);
    const bool is_same_start = state != nullptr && state->entry.incarnation == incarnation;
    const bool was_known = is_same_start && std::exchange(state->has_announced_end, true);
    if (incarnation == 0) {
        return is_same_start && !was_known; // a later start could not be told from this one
    }
    const bool is_new = announced_ends_.try_emplace(server_key(id, incarnation), now).second;
    if (announced_ends_.size() > max_announced_ends) {
        announced_ends_.erase(
            std::min_element(announced_ends_.begin(), announced_ends_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    return is_new;
}

void server_directory::add_latency(std::string_view id, time_ms latency)
{
    if (auto* const state = find(id)) {
        const auto old = state->latency.count();
        state->latency = old == 0 ? latency : time_ms{(old * 7 + latency.count()) / 8};
    }
}

} // namespace jujubevalve
