#pragma once

#include "core/time_ms.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Whether an instance accepts new requests.
enum class member_state { active, draining };

/// Gossiped description of one incarnation. State, heartbeat and configuration change while the
/// incarnation runs. `started_ms` rises only if a predecessor reports a later start.
struct member_entry {
    std::string instance;
    std::string incarnation;
    std::string http_address; ///< ip:port of the caller API
    std::string peer_address; ///< ip:port of the peer protocol
    std::string failure_domain;
    std::string region;
    std::int64_t started_ms{0}; ///< wall clock at start; orders incarnations of an instance
    member_state state{member_state::active};
    std::int64_t heartbeat{0};      ///< increases in each round
    std::int64_t config_term{0};    ///< as last received from the instance itself
    std::int64_t config_version{0}; ///< as last received from the instance itself

    friend auto operator<=>(const member_entry&, const member_entry&) = default;
};

/// Identifies an incarnation in digests: 41 bits of its hash, which a varint encodes in 6 bytes.
/// The probability that any two of 450 incarnations share an id is 5e-8; a table then keeps only
/// the one that it learned of first.
using member_id = std::int64_t;

/// Returns the id of an incarnation.
member_id id_of(std::string_view incarnation);

} // namespace jujubevalve
