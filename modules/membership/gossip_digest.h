#pragma once

#include "membership/member_entry.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// The fields of an entry that change from round to round.
struct member_heartbeat {
    member_id id{0};
    std::int64_t heartbeat{0};
    member_state state{member_state::active};

    friend auto operator<=>(const member_heartbeat&, const member_heartbeat&) = default;
};

/// Tokens of a budget that an incarnation could transfer to another. May be out of date.
struct budget_hint {
    member_id id{0};
    std::string budget;
    std::int64_t available{0};
    time_ms age{}; ///< since the incarnation announced it

    friend auto operator<=>(const budget_hint&, const budget_hint&) = default;
};

/// Request or response of a gossip exchange. Its size is bounded by `membership_settings`.
struct gossip_digest {
    member_heartbeat own;
    std::int64_t config_term{0};
    std::int64_t config_version{0};
    std::int64_t known{0};                    ///< instances that the sender does not suspect
    std::vector<member_heartbeat> heartbeats; ///< of other incarnations
    std::vector<member_heartbeat> doubts;     ///< reported unreachable, with last known heartbeat
    std::vector<member_entry> details;        ///< new and requested entries
    std::vector<member_id> wanted;            ///< ids whose details the sender requests
    std::vector<std::string> sought;          ///< budgets for which the sender requests hints
    std::vector<budget_hint> hints;

    friend bool operator==(const gossip_digest&, const gossip_digest&) = default;
};

} // namespace jujubevalve
