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

/// The file that operators fetch, edit and apply: `{"version":N, "routes":[...], "pools":[...]}`
/// with one or both tables.
struct table_file {
    std::optional<std::int64_t> version; ///< version at which the tables were fetched
    std::optional<config_snapshot::route_table> routes;
    std::optional<config_snapshot::pool_table> pools;

    friend bool operator==(const table_file&, const table_file&) = default;
};

/// Parses a table file. Adds a failure for each error, including duplicate names, and returns
/// nothing if there is one.
std::optional<table_file> parse_table_file(std::string_view text, std::vector<failure>& errors);

/// Formats the file as indented JSON that `parse_table_file` reads.
std::string to_text(const table_file& file);

} // namespace jujubevalve
