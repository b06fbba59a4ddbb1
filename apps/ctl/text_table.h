#pragma once

#include "core/time_ms.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// Text in aligned columns.
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    /// Adds a line; it has as many cells as the heading.
    void add(std::vector<std::string> cells);

    [[nodiscard]] std::string to_text() const;

private:
    std::vector<std::vector<std::string>> lines_;
};

/// Unix time as UTC, to the second.
std::string utc_text(time_ms at);

} // namespace jujubevalve
