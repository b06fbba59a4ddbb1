#pragma once

#include "core/result.h"
#include "core/tokens.h"

#include <string>
#include <string_view>

namespace jujubevalve
{

/// The ledger of one budget.
struct ledger_row {
    token_count allocated{0}; ///< sum of `granted` over the budget's grant rows

    friend bool operator==(const ledger_row&, const ledger_row&) = default;
};

/// Serialises the row as JSON.
std::string to_text(const ledger_row& row);

/// Parses the row. An empty text stands for an absent row, with nothing allocated. Fails with
/// `malformed_row`.
result<ledger_row> parse_ledger_row(std::string_view text);

} // namespace jujubevalve
