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

/// Returns the sum of all totals.
token_count sum_of(const incarnation_totals& totals);

/// Merges two maps, with the larger total for each incarnation, because cumulative totals only
/// grow.
incarnation_totals merge_max(incarnation_totals a, const incarnation_totals& b);

/// The grant of one incarnation under one budget. `granted` is negative when an incarnation has
/// returned tokens to the ledger that it received from a peer.
struct grant_row {
    token_count granted{0};
    std::int64_t seq{0};         ///< number of writes so far
    incarnation_totals sent;     ///< tokens sent to other incarnations and credited by them
    incarnation_totals received; ///< tokens received from other incarnations
    bool closed{false};          ///< no more spend is possible under the grant
    bool charged_in_full{false}; ///< closed without proof of the spend; counts as fully spent

    friend bool operator==(const grant_row&, const grant_row&) = default;
};

/// Serialises the row as JSON.
std::string to_text(const grant_row& row);

/// Parses the row. An empty text stands for an absent row, with nothing granted. Fails with
/// `malformed_row`.
result<grant_row> parse_grant_row(std::string_view text);

} // namespace jujubevalve
