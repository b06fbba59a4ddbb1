#pragma once

#include "membership/member_entry.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// The part of an entry that changes every round.
struct heartbeat_item {
    member_id id{0};
    std::int64_t heartbeat{0};
    member_state state{member_state::active};

    friend auto operator<=>(const heartbeat_item&, const heartbeat_item&) = default;
};

/// Tokens of a budget that an incarnation could pass on. May be out of date.
struct budget_hint {
    member_id id{0};
    std::string budget;
    std::int64_t available{0};
    time_ms age{}; ///< since the incarnation stated it

    friend auto operator<=>(const budget_hint&, const budget_hint&) = default;
};

/// One half of a gossip exchange. Its size is bounded by `membership_settings`.
struct gossip_digest {
    heartbeat_item own;
    std::int64_t config_term{0};
    std::int64_t config_version{0};
    std::int64_t known{0};                  ///< instances that the sender does not suspect
    std::vector<heartbeat_item> heartbeats; ///< of other incarnations
    std::vector<heartbeat_item> doubts;     ///< unreachable, and their last known heartbeat
    std::vector<member_entry> details;      ///< new entries and those that were asked for
    std::vector<member_id> wanted;          ///< ids whose details the sender lacks
    std::vector<std::string> sought;        ///< budgets of which the sender has run short
    std::vector<budget_hint> hints;

    friend bool operator==(const gossip_digest&, const gossip_digest&) = default;
};

} // namespace jujubevalve
