#pragma once

#include "config/config_snapshot.h"
#include "core/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// A row that was added (`before` is empty), removed (`after` is empty) or changed.
template <class Row>
struct row_change {
    std::string name;
    std::optional<Row> before;
    std::optional<Row> after;

    friend bool operator==(const row_change&, const row_change&) = default;
};

/// The changes between two versions of the tables; each list is in name order.
struct config_changes {
    std::vector<row_change<route>> routes;
    std::vector<row_change<pool>> pools;

    [[nodiscard]] bool empty() const { return routes.empty() && pools.empty(); }
    [[nodiscard]] std::size_t size() const { return routes.size() + pools.size(); }
    friend bool operator==(const config_changes&, const config_changes&) = default;
};

/// Returns the changes that turn the tables of `from` into those of `to`.
config_changes diff(const config_snapshot& from, const config_snapshot& to);

/// Applies the changes to both tables in place. Fails with `malformed_row` if a `before` row
/// differs from the row in the table; changes applied up to that row are not undone.
status apply_changes(config_snapshot::route_table& routes, config_snapshot::pool_table& pools,
                     const config_changes& changes);

/// Returns the snapshot after the changes, with the given term and version. Fails with
/// `malformed_row` if a `before` row differs from the row in the snapshot.
result<config_snapshot> with_changes(const config_snapshot& from, const config_changes& changes,
                                     std::int64_t term, std::int64_t version);

} // namespace jujubevalve
