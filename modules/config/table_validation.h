#pragma once

#include "config/config_snapshot.h"
#include "core/result.h"

#include <vector>

namespace jujubevalve
{

/// Checks both tables as a whole. Returns one failure for each fault, in table and name order, each
/// naming table, row, field, value and what is expected; nothing if the tables may be applied.
std::vector<failure> validate(const config_snapshot::route_table& routes,
                              const config_snapshot::pool_table& pools);

} // namespace jujubevalve
