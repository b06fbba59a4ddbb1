#include "peer/peer_messages.h"

namespace jujubevalve
{

namespace
{
std::int64_t pack_state(std::int64_t heartbeat, member_state state)
{
    return heartbeat * 2 + (state == member_state::draining ? 1 : 0);
}

std::int64_t heartbeat_of(std::int64_t packed)
{
    return packed / 2;
}

member_state state_of(std::int64_t packed)
{
    return packed % 2 == 0 ? member_state::active : member_state::draining;
}

wire::member to_message(const member_entry& entry)
{
    wire::member message;
    message.instance = entry.instance;
    message.incarnation = entry.incarnation;
    message.http_address = entry.http_address;
    message.peer_address = entry.peer_address;
    message.failure_domain = entry.failure_domain;
    message.region = entry.region;
    message.started_ms = entry.started_ms;
    message.state_and_heartbeat = pack_state(entry.heartbeat, entry.state);
    message.config_term = entry.config_term;
    message.config_version = entry.config_version;
    return message;
}

member_entry to_entry(const wire::member& message)
{
    return {message.instance,
            message.incarnation,
            message.http_address,
            message.peer_address,
            message.failure_domain,
            message.region,
            message.started_ms,
            state_of(message.state_and_heartbeat),
            heartbeat_of(message.state_and_heartbeat),
            message.config_term,
            message.config_version};
}

void set_details(wire::gossip& message, const gossip_digest& digest)
{
    if (digest.details.empty()) {
        return;
    }
    std::vector<wire::member> details;
    for (const auto& entry : digest.details) {
        details.push_back(to_message(entry));
    }
    message.__set_details(details);
}

void set_hints(wire::gossip& message, const gossip_digest& digest)
{
    if (digest.hints.empty()) {
        return;
    }
    std::vector<wire::budget_hint> hints;
    for (const auto& hint : digest.hints) {
        wire::budget_hint item;
        item.id = hint.id;
        item.budget = hint.budget;
        item.available = hint.available;
        item.age_ms = hint.age.count();
        hints.push_back(item);
    }
    message.__set_hints(hints);
}
} // namespace

wire::gossip to_message(const gossip_digest& digest)
{
    wire::gossip message;
    message.own.id = digest.own.id;
    message.own.state_and_heartbeat = pack_state(digest.own.heartbeat, digest.own.state);
    message.config_term = digest.config_term;
    message.config_version = digest.config_version;
    for (const auto& item : digest.heartbeats) {
        message.ids.push_back(item.id);
        message.states_and_heartbeats.push_back(pack_state(item.heartbeat, item.state));
    }
    message.known = digest.known;
    for (const auto& suspect : digest.doubts) {
        wire::heartbeat item;
        item.id = suspect.id;
        item.state_and_heartbeat = pack_state(suspect.heartbeat, suspect.state);
        message.doubts.push_back(item);
    }
    message.__isset.doubts = !digest.doubts.empty();
    set_details(message, digest);
    set_hints(message, digest);
    if (!digest.wanted.empty()) {
        message.__set_wanted(digest.wanted);
    }
    if (!digest.sought.empty()) {
        message.__set_sought(digest.sought);
    }
    return message;
}

gossip_digest to_digest(const wire::gossip& message)
{
    gossip_digest digest;
    const auto own = message.own.state_and_heartbeat;
    digest.own = {message.own.id, heartbeat_of(own), state_of(own)};
    digest.config_term = message.config_term;
    digest.config_version = message.config_version;
    const auto count = std::min(message.ids.size(), message.states_and_heartbeats.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto packed = message.states_and_heartbeats[i];
        digest.heartbeats.push_back({message.ids[i], heartbeat_of(packed), state_of(packed)});
    }
    digest.known = message.known;
    for (const auto& suspect : message.doubts) {
        const auto packed = suspect.state_and_heartbeat;
        digest.doubts.push_back({suspect.id, heartbeat_of(packed), state_of(packed)});
    }
    for (const auto& member : message.details) {
        digest.details.push_back(to_entry(member));
    }
    digest.wanted = message.wanted;
    digest.sought = message.sought;
    for (const auto& hint : message.hints) {
        digest.hints.push_back({hint.id, hint.budget, hint.available, time_ms{hint.age_ms}});
    }
    return digest;
}

} // namespace jujubevalve
