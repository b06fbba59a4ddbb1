#include "config/config_changes.h"

#include <fmt/format.h>

namespace jujubevalve
{

namespace
{
template <class Row>
using table = std::map<std::string, Row, std::less<>>;

template <class Row>
std::optional<Row> find_row(const table<Row>& rows, const std::string& name)
{
    const auto found = rows.find(name);
    return found == rows.end() ? std::nullopt : std::optional<Row>{found->second};
}

template <class Row>
std::vector<row_change<Row>> diff_table(const table<Row>& from, const table<Row>& to)
{
    std::map<std::string, row_change<Row>> changes;
    for (const auto& [name, row] : from) {
        const auto after = find_row(to, name);
        if (after != row) {
            changes[name] = {name, row, after};
        }
    }
    for (const auto& [name, row] : to) {
        if (!from.contains(name)) {
            changes[name] = {name, std::nullopt, row};
        }
    }
    std::vector<row_change<Row>> ordered;
    ordered.reserve(changes.size());
    for (auto& [name, change] : changes) {
        ordered.push_back(std::move(change));
    }
    return ordered;
}

template <class Row>
status apply_table_changes(table<Row>& rows, const std::vector<row_change<Row>>& changes,
                           std::string_view table_name)
{
    for (const auto& change : changes) {
        if (find_row(rows, change.name) != change.before) {
            return failure{result_code::malformed_row,
                           fmt::format("{} row \"{}\" differs from the state before the change",
                                       table_name, change.name)};
        }
        if (change.after) {
            rows.insert_or_assign(change.name, *change.after);
        } else {
            rows.erase(change.name);
        }
    }
    return success();
}
} // namespace

config_changes diff(const config_snapshot& from, const config_snapshot& to)
{
    return {diff_table(from.routes(), to.routes()), diff_table(from.pools(), to.pools())};
}

status apply_changes(config_snapshot::route_table& routes, config_snapshot::pool_table& pools,
                     const config_changes& changes)
{
    if (auto applied = apply_table_changes(routes, changes.routes, "routes"); !applied) {
        return applied;
    }
    return apply_table_changes(pools, changes.pools, "pools");
}

result<config_snapshot> with_changes(const config_snapshot& from, const config_changes& changes,
                                     std::int64_t term, std::int64_t version)
{
    auto routes = from.routes();
    auto pools = from.pools();
    if (const auto applied = apply_changes(routes, pools, changes); !applied) {
        return applied.error();
    }
    return config_snapshot{term, version, std::move(routes), std::move(pools)};
}

} // namespace jujubevalve
