#pragma once

#include "config/config_snapshot.h"
#include "core/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// A row that was added (no `before`), removed (no `after`) or changed.
template <class Row>
struct row_change {
    std::string name;
    std::optional<Row> before;
    std::optional<Row> after;

    friend bool operator==(const row_change&, const row_change&) = default;
};

/// The difference between two versions of the tables, each list in name order.
struct config_changes {
    std::vector<row_change<route>> routes;
    std::vector<row_change<pool>> pools;

    [[nodiscard]] bool empty() const { return routes.empty() && pools.empty(); }
    [[nodiscard]] std::size_t size() const { return routes.size() + pools.size(); }
    friend bool operator==(const config_changes&, const config_changes&) = default;
};

/// The changes that turn the first tables into the second.
config_changes diff(const config_snapshot& from, const config_snapshot& to);

/// Carries out the changes on both tables. Fails with `malformed_row` if a `before` row differs
/// from the row in the table; the tables are then changed in part.
status change_tables(config_snapshot::route_table& routes, config_snapshot::pool_table& pools,
                     const config_changes& changes);

/// The snapshot after the changes, with the given term and version. Fails with `malformed_row` if
/// a `before` row differs from the row in the snapshot.
result<config_snapshot> with_changes(const config_snapshot& from, const config_changes& changes,
                                     std::int64_t term, std::int64_t version);

} // namespace jujubevalve
