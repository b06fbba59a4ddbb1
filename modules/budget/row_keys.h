#pragma once

#include "config/config_rows.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Segment number of the segment that recovery writes. An incarnation never reaches it, so a late
/// put by the incarnation cannot replace it.
inline constexpr std::int64_t recovery_segment_seq = 999'999'999'999;

/// Prefix of all grant rows of a budget.
std::string grant_prefix(std::string_view budget);

/// Key of an incarnation's grant row under a budget.
std::string grant_key(std::string_view budget, std::string_view incarnation);

/// Key of an incarnation's instance row.
std::string instance_key(std::string_view incarnation);

/// Prefix of the object names of an incarnation's segments.
std::string segment_prefix(std::string_view incarnation);

/// Object name of a segment; the number has 12 digits so that names sort by number.
std::string segment_name(std::string_view incarnation, std::int64_t seq);

/// Key of a request at a backend server.
std::string server_request_key(std::string_view incarnation, std::string_view server,
                               std::int64_t n);

} // namespace jujubevalve
