#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

inline constexpr std::string_view term_key = "term";
inline constexpr std::string_view config_head_key = "config/head";
inline constexpr std::string_view config_log_prefix = "config/log/";
inline constexpr std::string_view routes_prefix = "routes/";
inline constexpr std::string_view pools_prefix = "pools/";
inline constexpr std::string_view ledger_prefix = "ledger/";

/// Max version: the version in a log key has 12 digits.
inline constexpr std::int64_t max_config_version = 999'999'999'999;

/// Returns the key of a version's log entry. The version is padded to 12 digits, so that key order
/// is version order.
std::string config_log_key(std::int64_t version);
std::string route_key(std::string_view name);
std::string pool_key(std::string_view name);
std::string ledger_key(std::string_view budget);

/// The row `term`: the current contract term and the operator that holds it.
struct term_row {
    std::int64_t term{0};
    std::string operator_name;

    friend bool operator==(const term_row&, const term_row&) = default;
};

/// Encode and decode rows. Decoding fails with `malformed_row`. An empty text stands for an absent
/// row and decodes to term 0, version 0 or 0 allocated tokens.
std::string encode(const term_row& row);
result<term_row> decode_term(std::string_view text);
std::string encode_config_head(std::int64_t version);
result<std::int64_t> decode_config_head(std::string_view text);

/// Returns the field `allocated` of a ledger row, in tokens.
result<std::int64_t> decode_allocated(std::string_view text);

} // namespace jujubevalve
