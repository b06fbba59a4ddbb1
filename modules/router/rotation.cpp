#include "router/rotation.h"

#include <algorithm>

namespace jujubevalve
{

std::vector<std::pair<std::string, std::string>> rotation::take(const entries& all,
                                                                std::size_t max_count)
{
    std::vector<std::pair<std::string, std::string>> taken;
    auto next = all.upper_bound(last_);
    const auto count = std::min(max_count, all.size());
    taken.reserve(count);
    while (taken.size() < count) {
        if (next == all.end()) {
            next = all.begin();
        }
        taken.emplace_back(*next);
        ++next;
    }
    if (!taken.empty()) {
        last_ = taken.back().first;
    }
    return taken;
}

} // namespace jujubevalve
