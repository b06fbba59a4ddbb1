#pragma once

#include "membership/member_table.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// An address that a caller may use.
struct listed_address {
    std::string instance;
    std::string http_address;
    std::string failure_domain;

    friend auto operator<=>(const listed_address&, const listed_address&) = default;
};

/// Where a caller is, as far as it said so; empty texts if it did not.
struct caller_place {
    std::string failure_domain;
    std::string region;
};

/// The addresses for a caller: instances that are neither suspected nor draining, this one
/// included. Those of the caller's failure domain come first, then those of its region, then the
/// rest; within each group the start is rotated by `rotation`, so that callers spread. At most
/// `limit` addresses.
std::vector<listed_address> make_address_list(const member_table& table, time_ms now,
                                              const caller_place& place, std::uint64_t rotation,
                                              std::size_t limit = 16);

} // namespace jujubevalve
