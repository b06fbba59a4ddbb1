#pragma once

#include "core/result.h"
#include "core/tokens.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Cumulative tokens by incarnation.
using incarnation_totals = std::map<std::string, token_count, std::less<>>;

/// Sum of all totals.
token_count sum_of(const incarnation_totals& totals);

/// Keeps the larger total of both for each incarnation; cumulative totals only grow.
incarnation_totals larger_of(incarnation_totals a, const incarnation_totals& b);

/// The grant of one incarnation under one budget. `granted` is negative when an incarnation has
/// returned tokens to the ledger that it received from a peer.
struct grant_row {
    token_count granted{0};
    std::int64_t seq{0};         ///< number of the write
    incarnation_totals sent;     ///< to other incarnations, as credited by them
    incarnation_totals received; ///< from other incarnations
    bool closed{false};          ///< no spend is possible under it any more
    bool charged_in_full{false}; ///< closed without proof of the spend; all of it counts as spent

    friend bool operator==(const grant_row&, const grant_row&) = default;
};

/// Writes the row as JSON.
std::string to_text(const grant_row& row);

/// Reads the row. An empty text is the absent row, with nothing granted. Fails with
/// `malformed_row`.
result<grant_row> parse_grant_row(std::string_view text);

} // namespace jujubevalve
