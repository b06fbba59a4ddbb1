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

/// Parses JSON text. Unlike the library alone, it refuses an object with the same field twice.
/// Fails with `malformed_json` and the position.
result<nlohmann::json> parse_strict_json(std::string_view text);

/// JSON of a table row, every field in it.
nlohmann::json to_json(const route& row);
nlohmann::json to_json(const pool& row);

/// Reads a table row. Every field is required, and no other field is accepted. Adds one failure for
/// each fault, which names table, row, field, value and expected range, and returns nothing if
/// there is any.
std::optional<route> parse_route(const nlohmann::json& row, std::vector<failure>& errors);
std::optional<pool> parse_pool(const nlohmann::json& row, std::vector<failure>& errors);

/// Text form of rows in the platform, and its inverse; a parse fails with `malformed_row`.
std::string encode(const route& row);
std::string encode(const pool& row);
std::string encode(const config_log_entry& entry);
std::string encode(const config_snapshot& snapshot);
result<route> decode_route(std::string_view text);
result<pool> decode_pool(std::string_view text);
result<config_log_entry> decode_log_entry(std::string_view text);
result<config_snapshot> decode_snapshot(std::string_view text);

/// Decodes the rows of the log after a version. Fails with `malformed_row` on a gap.
result<std::vector<config_log_entry>> decode_log(const std::vector<table_row>& rows,
                                                 std::int64_t after_version);

/// Builds a snapshot from the rows of both tables. Its term is that of the log entry of the
/// version, given as the row's text (empty for version 0).
result<config_snapshot> decode_tables(std::int64_t version, std::string_view entry,
                                      const std::vector<table_row>& routes,
                                      const std::vector<table_row>& pools);

/// Joins the messages of several failures, one a line, under the code of the first.
failure join(const std::vector<failure>& errors);

} // namespace jujubevalve
