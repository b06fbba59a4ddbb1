#include "membership/address_list.h"

#include <algorithm>
#include <array>

namespace jujubevalve
{

namespace
{
std::size_t distance(const member_entry& entry, const caller_location& caller)
{
    if (entry.failure_domain == caller.failure_domain) {
        return 0;
    }
    return entry.region == caller.region ? 1 : 2;
}
} // namespace

std::vector<listed_address> make_address_list(const member_table& table, time_ms now,
                                              const caller_location& caller, std::uint64_t rotation,
                                              std::size_t limit)
{
    std::array<std::vector<listed_address>, 3> groups;
    const auto add = [&](const member_entry& entry) {
        if (entry.state == member_state::active) {
            groups.at(distance(entry, caller))
                .push_back({entry.instance, entry.http_address, entry.failure_domain});
        }
    };
    add(table.own());
    for (const auto& member : table.members(now)) {
        if (!member.suspected) {
            add(member.entry);
        }
    }
    std::vector<listed_address> list;
    for (auto& group : groups) {
        if (group.empty()) {
            continue;
        }
        std::sort(group.begin(), group.end());
        const auto start = static_cast<std::ptrdiff_t>(rotation % group.size());
        std::rotate(group.begin(), group.begin() + start, group.end());
        list.insert(list.end(), group.begin(), group.end());
    }
    list.resize(std::min(list.size(), limit));
    return list;
}

} // namespace jujubevalve
