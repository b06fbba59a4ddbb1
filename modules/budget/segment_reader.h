#pragma once

#include "budget/segment.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// Summary of all segments of one incarnation.
struct incarnation_summary {
    std::map<std::string, token_count, std::less<>> spent; ///< cumulative tokens, by budget
    std::map<std::string, std::int64_t, std::less<>> next; ///< next request number, by server
    std::vector<open_request> open;                        ///< open requests of the newest segment
    std::int64_t last_seq{0};       ///< number of the newest segment written by the incarnation
    bool recovered{false};          ///< the segment written by a recovery is present
    std::vector<std::int64_t> gaps; ///< missing segment numbers below `last_seq`

    friend bool operator==(const incarnation_summary&, const incarnation_summary&) = default;
};

/// Aggregates segments, which may be added in any order and repeatedly. The bill is a set keyed by
/// (account, key): of an entry that appears in several segments, only the one from the segment with
/// the smallest (incarnation, number) counts.
class segment_reader
{
public:
    /// Adds a segment. Adding it again has no effect.
    void add(const segment& segment);

    /// Returns the bill, ordered by account and key.
    [[nodiscard]] std::vector<bill_entry> bill() const;

    /// Returns the billed tokens by budget.
    [[nodiscard]] std::map<std::string, token_count> billed() const;

    /// Returns the spent tokens by budget over all incarnations. Can exceed the billed tokens,
    /// because a request may have run more than once.
    [[nodiscard]] std::map<std::string, token_count> spent() const;

    /// Returns the summary of an incarnation's segments.
    [[nodiscard]] incarnation_summary account(const std::string& incarnation) const;

    /// Returns the incarnations that have segments.
    [[nodiscard]] std::vector<std::string> incarnations() const;

private:
    std::map<std::string, std::map<std::int64_t, segment>> by_incarnation_;
};

} // namespace jujubevalve
