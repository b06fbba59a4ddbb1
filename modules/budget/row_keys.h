#pragma once

#include "config/config_rows.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Number of the segment that recovery writes. An incarnation's own numbers never reach it, so a
/// late put by the incarnation cannot overwrite it.
inline constexpr std::int64_t recovery_segment_seq = 999'999'999'999;

/// Returns the key prefix of all grant rows of a budget.
std::string grant_prefix(std::string_view budget);

/// Returns the key of an incarnation's grant row under a budget.
std::string grant_key(std::string_view budget, std::string_view incarnation);

/// Returns the key of an incarnation's instance row.
std::string instance_key(std::string_view incarnation);

/// Returns the prefix of the object names of an incarnation's segments.
std::string segment_prefix(std::string_view incarnation);

/// Returns the object name of a segment. The number has 12 digits, so that names sort by number.
std::string segment_name(std::string_view incarnation, std::int64_t seq);

/// Returns the key of a request at a backend server; `n` is its request number there.
std::string server_request_key(std::string_view incarnation, std::string_view server,
                               std::int64_t n);

} // namespace jujubevalve
