#pragma once

#include "config/config_snapshot.h"
#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// What operators fetch, edit and apply: `{"version":N, "routes":[...], "pools":[...]}` with one or
/// both tables.
struct table_file {
    std::optional<std::int64_t> version; ///< version that the tables were fetched at
    std::optional<config_snapshot::route_table> routes;
    std::optional<config_snapshot::pool_table> pools;

    friend bool operator==(const table_file&, const table_file&) = default;
};

/// Reads a table file. Adds a failure for each fault, names used twice included, and returns
/// nothing if there is any.
std::optional<table_file> parse_table_file(std::string_view text, std::vector<failure>& errors);

/// Indented JSON text, one row after the other, that `parse_table_file` reads.
std::string to_text(const table_file& file);

} // namespace jujubevalve
