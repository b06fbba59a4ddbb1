#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// Takes the entries of a map in turns, so that each is taken once before any is taken again, also
/// while entries come and go.
class rotation
{
public:
    using entries = std::map<std::string, std::string, std::less<>>;

    /// The next entries in name order after those of the last call, at most `most` and each once.
    std::vector<std::pair<std::string, std::string>> take(const entries& all,
                                                          std::size_t max_count);

private:
    std::string last_;
};

} // namespace jujubevalve
