#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

// When the store is restored from a copy, a new era of it begins: rows are as they were when the
// copy was made, and versions are given out again. A write of the era before can then meet a row
// that has the version that it requires, and other content. Each era therefore has budget rows of
// its own: `table/partition/rest` becomes `table/partition/e<era>/rest`. The rows of the first era,
// in which the fleet started, have no such part.

/// Era of budget rows; nothing in the first.
using row_era = std::optional<std::int64_t>;

/// Returns the name that a row has in an era.
std::string key_in_era(std::string_view key, row_era era);

/// A row's name in the first era, and the era to which the row belongs.
struct era_key {
    std::string key;
    row_era era;

    friend bool operator==(const era_key&, const era_key&) = default;
};

/// Inverse of key_in_era().
era_key split_era_key(std::string_view key);

} // namespace jujubevalve
