#pragma once

#include "config/config_log_entry.h"
#include "config/config_snapshot.h"
#include "core/result.h"
#include "storage/table_store.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Parses JSON text. Unlike the JSON library by default, rejects an object with a duplicate field.
/// Fails with `malformed_json`; the message of a syntax error contains the byte position.
result<nlohmann::json> parse_strict_json(std::string_view text);

/// Returns a table row as a JSON object with every field.
nlohmann::json to_json(const route& row);
nlohmann::json to_json(const pool& row);

/// Parses a table row. Every field is required, and unknown fields are rejected. Adds a failure for
/// each error, with table, row, field, value and expected range, and returns nothing if there is
/// one.
std::optional<route> parse_route(const nlohmann::json& row, std::vector<failure>& errors);
std::optional<pool> parse_pool(const nlohmann::json& row, std::vector<failure>& errors);

/// Encode and decode rows in the JSON text form that the platform stores. Decoding fails with
/// `malformed_row`.
std::string encode(const route& row);
std::string encode(const pool& row);
std::string encode(const config_log_entry& entry);
std::string encode(const config_snapshot& snapshot);
result<route> decode_route(std::string_view text);
result<pool> decode_pool(std::string_view text);
result<config_log_entry> decode_log_entry(std::string_view text);
result<config_snapshot> decode_snapshot(std::string_view text);

/// Decodes the log rows after a version. Fails with `malformed_row` if a version is missing.
result<std::vector<config_log_entry>> decode_log(const std::vector<table_row>& rows,
                                                 std::int64_t after_version);

/// Builds a snapshot from the rows of both tables. The snapshot's term is that of the version's log
/// entry; `entry` is the text of that row (empty for version 0).
result<config_snapshot> decode_tables(std::int64_t version, std::string_view entry,
                                      const std::vector<table_row>& routes,
                                      const std::vector<table_row>& pools);

/// Joins the messages of several failures, one per line; the code is that of the first.
failure join(const std::vector<failure>& errors);

} // namespace jujubevalve
