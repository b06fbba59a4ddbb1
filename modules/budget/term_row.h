#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// The contract term in force.
struct term_row {
    std::int64_t term{0};
    std::string operator_name;

    friend bool operator==(const term_row&, const term_row&) = default;
};

/// Writes the row as JSON.
std::string to_text(const term_row& row);

/// Reads the row. Fails with `malformed_row`.
result<term_row> parse_term_row(std::string_view text);

} // namespace jujubevalve
