#pragma once

#include "core/time_ms.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Whether an instance takes new work.
enum class member_state { active, draining };

/// What the fleet knows about one incarnation. All but state, heartbeat and configuration stays
/// the same for the whole life of the incarnation.
struct member_entry {
    std::string instance;
    std::string incarnation;
    std::string http_address; ///< ip:port of the caller API
    std::string peer_address; ///< ip:port of the peer protocol
    std::string failure_domain;
    std::string region;
    std::int64_t started_ms{0}; ///< wall clock at start; orders incarnations of an instance
    member_state state{member_state::active};
    std::int64_t heartbeat{0};      ///< grows by one each round
    std::int64_t config_term{0};    ///< as last heard from the instance itself
    std::int64_t config_version{0}; ///< as last heard from the instance itself

    friend auto operator<=>(const member_entry&, const member_entry&) = default;
};

/// Short name of an incarnation in digests: 41 bits of its hash, which a varint holds in 6 bytes.
/// Two of 450 incarnations share one with a probability of 5e-8; the later one is then not listed.
using member_id = std::int64_t;

/// The short name of an incarnation.
member_id id_of(std::string_view incarnation);

} // namespace jujubevalve
