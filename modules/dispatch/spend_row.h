#pragma once

#include "core/result.h"
#include "dispatch/spend_ceilings.h"
#include "storage/table_store.h"

#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Row in which an incarnation publishes its spend ceilings, so that its successor can reclaim its
/// grants.
struct spend_row {
    std::string incarnation;
    std::string address; ///< it listens here; a successor at the same address proves its end
    time_ms stamp{};     ///< store time, not later than the time the row was sent
    ceiling_map ceilings;

    friend bool operator==(const spend_row&, const spend_row&) = default;
};

/// Returns the row as JSON.
std::string to_text(const spend_row& row);

/// Parses the row. Fails with `malformed_row`.
result<spend_row> parse_spend_row(std::string_view text);

/// Returns the key of an incarnation's spend row.
std::string spend_key(std::string_view instance, std::string_view incarnation);

/// Returns the keys of the rows that must be read to reclaim the grants of a terminated
/// incarnation.
std::vector<std::string> reclaim_read_set(const spend_row& terminated);

/// Returns the transaction that reclaims a terminated incarnation's grants: it closes them and
/// returns to the ledgers what the incarnation cannot have spent. `age` is the age of the spend row
/// at a time when the process had certainly ended. `rows` are the current rows of the read set. The
/// transaction is empty if no grant is open. Fails with `malformed_row`.
result<transaction> plan_reclaim(const spend_row& terminated, time_ms age,
                                 const std::vector<table_row>& rows);

} // namespace jujubevalve
