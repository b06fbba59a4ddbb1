#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// Iterates over the entries of a map in round-robin order, in batches. Entries may be added and
/// removed between batches.
class rotation
{
public:
    using entries = std::map<std::string, std::string, std::less<>>;

    /// Returns up to `max_count` entries in name order, starting after the last one returned by the
    /// previous call and wrapping around. Contains no entry twice.
    std::vector<std::pair<std::string, std::string>> take(const entries& all,
                                                          std::size_t max_count);

private:
    std::string last_;
};

} // namespace jujubevalve
