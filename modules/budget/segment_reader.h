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

/// What the segments of one incarnation say together.
struct incarnation_account {
    std::map<std::string, token_count, std::less<>> spent; ///< cumulative, by budget
    std::map<std::string, std::int64_t, std::less<>> next; ///< by server
    std::vector<open_request> open;                        ///< as of the newest segment
    std::int64_t last_seq{0};       ///< newest segment of the incarnation itself
    bool recovered{false};          ///< the segment of a recovery is present
    std::vector<std::int64_t> gaps; ///< numbers below `last_seq` that are missing

    friend bool operator==(const incarnation_account&, const incarnation_account&) = default;
};

/// Reads segments in any order and any number of times and adds them up. The bill is a set by
/// (account, key): an entry that appears in several segments counts once, as in the segment with
/// the smallest (incarnation, number).
class segment_reader
{
public:
    /// Adds a segment; adding it again changes nothing.
    void add(const segment& segment);

    /// The bill, ordered by account and key.
    [[nodiscard]] std::vector<bill_entry> bill() const;

    /// Billed tokens by budget.
    [[nodiscard]] std::map<std::string, token_count> billed() const;

    /// Spent tokens by budget over all incarnations; at least what is billed, because a request
    /// may have run more than once.
    [[nodiscard]] std::map<std::string, token_count> spent() const;

    /// What is known of an incarnation.
    [[nodiscard]] incarnation_account account(const std::string& incarnation) const;

    /// The incarnations that have segments.
    [[nodiscard]] std::vector<std::string> incarnations() const;

private:
    std::map<std::string, std::map<std::int64_t, segment>> by_incarnation_;
};

} // namespace jujubevalve
