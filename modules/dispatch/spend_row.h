#pragma once

#include "core/result.h"
#include "dispatch/spend_ceilings.h"
#include "storage/table_store.h"

#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// What an incarnation keeps in the store for its successor.
struct spend_row {
    std::string incarnation;
    std::string address; ///< that it serves; a successor at the same address proves its end
    time_ms stamp{};     ///< the store's time, not later than when the row was sent
    ceiling_map ceilings;

    friend bool operator==(const spend_row&, const spend_row&) = default;
};

/// Writes the row as JSON.
std::string to_text(const spend_row& row);

/// Reads the row. Fails with `malformed_row`.
result<spend_row> parse_spend_row(std::string_view text);

/// Key of an incarnation's spend row.
std::string spend_key(std::string_view instance, std::string_view incarnation);

/// Rows that must be known to close the grants of a dead incarnation.
std::vector<std::string> reclaim_read_set(const spend_row& dead);

/// The transaction that closes a dead incarnation's grants and returns to the ledgers what it
/// cannot have spent. `age` is that of the row at a time at which the process was dead. `rows` are
/// the present rows of the read set. Empty if nothing is left to close. Fails with
/// `malformed_row`.
result<transaction> plan_reclaim(const spend_row& dead, time_ms age,
                                 const std::vector<table_row>& rows);

} // namespace jujubevalve
