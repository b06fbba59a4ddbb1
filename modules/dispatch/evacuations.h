#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// The failure domains that the operator has evacuated: their servers get no requests. Kept as it
/// was last read while the operator's table cannot be read.
class evacuations
{
public:
    /// The domains whose state an update has changed.
    struct changes {
        std::vector<std::string> begun;
        std::vector<std::string> ended;

        friend bool operator==(const changes&, const changes&) = default;
    };

    /// Replaces all evacuations with a full listing of the table.
    changes replace_all(const std::set<std::string, std::less<>>& domains);

    /// Begins or ends the evacuation of one domain; nothing changes if it has begun or ended
    /// before.
    changes set(const std::string& domain, bool is_evacuated);

    [[nodiscard]] bool contains(std::string_view domain) const { return domains_.contains(domain); }
    [[nodiscard]] std::size_t size() const { return domains_.size(); }

private:
    std::set<std::string, std::less<>> domains_;
};

} // namespace jujubevalve
