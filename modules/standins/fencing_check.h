#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Refuses requests whose fencing token is lower than one accepted before. A token is one integer,
/// or several separated by dots, which are compared from left to right.
class fencing_check
{
public:
    /// Accepts and stores a token that is not lower than any accepted before; returns false
    /// otherwise. Malformed text counts as the lowest token.
    bool accept(std::string_view token);

private:
    std::vector<std::int64_t> highest_;
};

} // namespace jujubevalve
