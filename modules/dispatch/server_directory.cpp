#include "dispatch/server_directory.h"

#include <algorithm>
#include <set>

namespace jujubevalve
{

namespace
{
/// A living server registers again within about 2 s of the registry's return.
constexpr time_ms registration_grace{2200};
/// Consecutive transport failures, and error answers, after which a server is avoided.
constexpr int failures_to_avoid = 2;
constexpr int errors_to_avoid = 4;
/// First and longest time for which a server is avoided; doubled with each further failure.
constexpr time_ms first_avoidance{700};
constexpr time_ms longest_avoidance{4000};
/// A full server is asked again after this time.
constexpr time_ms refusal_pause{60};
} // namespace

void server_directory::replace_all(const std::vector<server_entry>& entries, time_ms now)
{
    std::set<std::string_view> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
    }
    for (auto& [id, record] : servers_) {
        if (!listed.contains(id) && !record.vanished_at) {
            record.vanished_at = now;
        }
    }
    for (const auto& entry : entries) {
        put(entry, now);
    }
    expire(now);
}

void server_directory::put(const server_entry& entry, time_ms now)
{
    auto& record = servers_[entry.id];
    const bool restarted = record.state && record.state->entry.incarnation != entry.incarnation;
    if (!record.state || restarted) {
        record.state = std::make_shared<server_state>();
    }
    record.state->entry = entry;
    record.vanished_at.reset();
    (void)now;
}

void server_directory::remove(std::string_view id, time_ms now)
{
    const auto found = servers_.find(id);
    if (found != servers_.end() && !found->second.vanished_at) {
        found->second.vanished_at = now;
    }
    expire(now);
}

void server_directory::set_registry_reachable(bool reachable, time_ms now)
{
    if (reachable && !reachable_) {
        reachable_since_ = now;
        was_unreachable_ = true;
    }
    reachable_ = reachable;
}

void server_directory::expire(time_ms now)
{
    const bool grace =
        !reachable_ || (was_unreachable_ && now - reachable_since_ < registration_grace);
    if (grace) {
        return;
    }
    std::erase_if(servers_, [](const auto& item) { return item.second.vanished_at.has_value(); });
}

std::vector<server_state*> server_directory::candidates(std::string_view service)
{
    std::vector<server_state*> found;
    for (auto& [id, record] : servers_) {
        if (record.state->entry.service == service && !record.state->entry.leaving) {
            found.push_back(record.state.get());
        }
    }
    return found;
}

server_state* server_directory::find(std::string_view id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.state.get();
}

void server_directory::started(std::string_view id, token_count unread_tokens)
{
    if (auto* const state = find(id)) {
        ++state->own_running;
        ++state->sent_since_report;
        state->own_unread_tokens += unread_tokens;
    }
}

void server_directory::prompt_read(std::string_view id, token_count unread_tokens)
{
    if (auto* const state = find(id)) {
        state->own_unread_tokens =
            std::max<token_count>(0, state->own_unread_tokens - unread_tokens);
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
        state->failures = 0;
        state->errors = 0;
        state->avoid_until = time_ms{};
        break;
    case server_verdict::refused:
        state->refused_until = now + refusal_pause;
        break;
    case server_verdict::misdirected:
        state->avoid_until = now + longest_avoidance;
        break;
    case server_verdict::bad_answer:
        ++state->errors;
        if (state->errors >= errors_to_avoid) {
            fail(*state, state->errors - errors_to_avoid, now);
        }
        break;
    case server_verdict::unreachable:
        ++state->failures;
        if (state->failures >= failures_to_avoid) {
            fail(*state, state->failures - failures_to_avoid, now);
        }
        break;
    case server_verdict::neutral:
        break;
    }
}

void server_directory::fail(server_state& state, int count, time_ms now)
{
    const auto pause = first_avoidance * (std::int64_t{1} << std::min(count, 5));
    state.avoid_until = now + std::min(pause, longest_avoidance);
}

void server_directory::heard(std::string_view id, time_ms now)
{
    if (auto* const state = find(id)) {
        state->heard_at = now;
    }
}

bool server_directory::is_silent_since(std::string_view id, time_ms since)
{
    const auto* const state = find(id);
    return state == nullptr || state->heard_at <= since;
}

void server_directory::reported(std::string_view id, const server_load& load, time_ms now)
{
    if (auto* const state = find(id)) {
        state->report = load;
        state->report_at = now;
        state->sent_since_report = 0;
    }
}

void server_directory::answered_within(std::string_view id, time_ms latency)
{
    if (auto* const state = find(id)) {
        const auto old = state->latency.count();
        state->latency = old == 0 ? latency : time_ms{(old * 7 + latency.count()) / 8};
    }
}

} // namespace jujubevalve
