#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Refuses orders whose fencing token is lower than one seen before. Tokens are whole numbers,
/// or several joined by dots that are compared from left to right.
class fencing_check
{
public:
    /// Whether the token is at least as high as all before it, and remembers it. A text that is no
    /// token counts as the lowest one.
    bool accept(std::string_view token);

private:
    std::vector<std::int64_t> highest_;
};

} // namespace jujubevalve
