#pragma once

#include "membership/member_table.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// An instance that a caller may send requests to.
struct listed_address {
    std::string instance;
    std::string http_address;
    std::string failure_domain;

    friend auto operator<=>(const listed_address&, const listed_address&) = default;
};

/// Location that a caller reports; a field is empty if the caller did not report it.
struct caller_location {
    std::string failure_domain;
    std::string region;
};

/// Returns at most `limit` addresses for a caller: instances that are neither suspected nor
/// draining, this one included. Instances in the caller's failure domain come first, then those in
/// its region, then the rest. Each group is rotated by `rotation` positions, which spreads callers
/// over its instances.
std::vector<listed_address> make_address_list(const member_table& table, time_ms now,
                                              const caller_location& caller, std::uint64_t rotation,
                                              std::size_t limit = 16);

} // namespace jujubevalve
