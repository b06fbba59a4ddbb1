#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// `active`: running, or terminated and not yet detected. `drained`: closed all its grants itself
/// and exited. `recovering`: terminated, its grants are being reclaimed. `closed`: terminated, all
/// grants are closed.
enum class incarnation_state { active, drained, recovering, closed };

/// Platform row of one incarnation, which is one run of a router process.
struct instance_row {
    std::string instance;
    std::string incarnation;
    std::string http_address;
    std::string peer_address;
    std::string failure_domain;
    std::string region;
    std::int64_t term{0};
    incarnation_state state{incarnation_state::active};
    std::optional<std::int64_t> final_segment; ///< number of the last segment, once known
    /// False if the process only advertises `peer_address`, so that another process could bind it.
    bool peer_bound{true};

    friend bool operator==(const instance_row&, const instance_row&) = default;
};

/// Serialises the row as JSON.
std::string to_text(const instance_row& row);

/// Parses the row. Fails with `malformed_row`.
result<instance_row> parse_instance_row(std::string_view text);

} // namespace jujubevalve
