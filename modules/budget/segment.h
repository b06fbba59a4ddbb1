#pragma once

#include "core/result.h"
#include "core/tokens.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Cumulative spend of an incarnation under a budget.
struct budget_spend {
    std::string name;
    token_count spent{0};

    friend bool operator==(const budget_spend&, const budget_spend&) = default;
};

/// One line of the bill. Each request key of a client account is billed once.
struct bill_entry {
    std::string account;
    std::string key;
    std::string budget;
    token_count tokens{0};

    friend auto operator<=>(const bill_entry&, const bill_entry&) = default;
};

/// The next unused request number of an incarnation at a backend server.
struct sequence_mark {
    std::string server;
    std::int64_t next{0};

    friend bool operator==(const sequence_mark&, const sequence_mark&) = default;
};

/// A request that was not yet settled when the segment was cut.
struct open_request {
    std::string server;
    std::int64_t n{0};
    std::string budget;
    token_count reserved{0};

    friend auto operator<=>(const open_request&, const open_request&) = default;
};

/// A numbered settlement segment. `sequences` and `open` hold the full state at the time of the
/// cut; `budgets` holds only the budgets whose spend changed since the previous segment, `bills`
/// only the new entries.
struct segment {
    std::string incarnation;
    std::int64_t seq{0};
    std::vector<budget_spend> budgets;
    std::vector<bill_entry> bills;
    std::vector<sequence_mark> sequences;
    std::vector<open_request> open;

    friend bool operator==(const segment&, const segment&) = default;
};

/// Serialises the segment as JSON.
std::string to_text(const segment& segment);

/// Parses a segment. Fails with `malformed_row`.
result<segment> parse_segment(std::string_view text);

} // namespace jujubevalve
