#pragma once

#include "config/config_snapshot.h"
#include "core/result.h"

#include <vector>

namespace jujubevalve
{

/// Validates both tables, including references between rows. Returns a failure for each error, in
/// table and name order, each with table, row, field, value and expected value; empty if the tables
/// are valid.
std::vector<failure> validate(const config_snapshot::route_table& routes,
                              const config_snapshot::pool_table& pools);

} // namespace jujubevalve
