#pragma once

#include "core/result.h"
#include "core/tokens.h"
#include "storage/http_platform.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve
{

/// A grant row, by the shape in section 3 of docs/design.md.
struct grant_view {
    std::string budget;
    std::string incarnation;
    token_count granted{0};
    std::map<std::string, token_count> sent;
    std::map<std::string, token_count> received;
    bool closed{false};
    bool charged_in_full{false};

    /// What the incarnation may spend in all: granted - sent + received.
    [[nodiscard]] token_count entitled() const;
};

/// A ledger row.
struct ledger_view {
    token_count allocated{0};
    std::int64_t row_version{0};
};

/// An instance row.
struct instance_view {
    std::string incarnation;
    std::string instance;
    std::string http_address;
    std::string peer_address;
    std::string failure_domain;
    std::string state;
    std::int64_t term{0};
    std::int64_t final_segment{0}; ///< 0 until the incarnation has drained or was recovered
};

/// A bill entry of a segment.
struct bill_view {
    std::string account;
    std::string key;
    std::string budget;
    token_count tokens{0};

    friend bool operator==(const bill_view&, const bill_view&) = default;
};

/// A settlement segment, by the shape in section 4.3 of docs/design.md.
struct segment_view {
    std::string incarnation;
    std::int64_t seq{0};
    std::map<std::string, token_count> spent; ///< cumulative, by budget
    std::vector<bill_view> bills;
};

/// Object names of segments, by incarnation, each list in order of the sequence number.
using segment_names = std::map<std::string, std::vector<std::string>>;

/// Reads all rows or names of a kind. Fails with `malformed_row` or as the platform does. Blocks.
result<std::vector<grant_view>> load_grants(http_platform& platform);
result<std::map<std::string, ledger_view>> load_ledgers(http_platform& platform);
result<std::map<std::string, instance_view>> load_instances(http_platform& platform);
result<segment_names> load_segment_names(http_platform& platform);

/// Reads one segment. Blocks.
result<segment_view> load_segment(http_platform& platform, const std::string& name);

/// The sequence number at the end of a segment's object name, or -1.
std::int64_t sequence_of(const std::string& name);

} // namespace jujubevalve
