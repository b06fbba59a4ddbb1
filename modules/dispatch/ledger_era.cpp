#include "dispatch/ledger_era.h"

#include <charconv>

namespace jujubevalve
{

namespace
{
constexpr char era_mark = 'e';

/// Returns the position behind the table and the partition.
std::size_t end_of_partition(std::string_view key)
{
    const auto table_end = key.find('/');
    const auto end = table_end == std::string_view::npos ? table_end : key.find('/', table_end + 1);
    return end == std::string_view::npos ? key.size() : end;
}
} // namespace

std::string key_in_era(std::string_view key, row_era era)
{
    if (!era) {
        return std::string{key};
    }
    const auto end = end_of_partition(key);
    return std::string{key.substr(0, end)}
        .append({'/', era_mark})
        .append(std::to_string(*era))
        .append(key.substr(end));
}

era_key split_era_key(std::string_view key)
{
    const auto begin = end_of_partition(key);
    const auto rest = key.substr(begin);
    if (rest.size() < 3 || rest[1] != era_mark) {
        return {std::string{key}, std::nullopt};
    }
    std::int64_t era = 0;
    const auto* const end = rest.data() + rest.size();
    const auto parsed = std::from_chars(rest.data() + 2, end, era);
    if (parsed.ec != std::errc{} || (parsed.ptr != end && *parsed.ptr != '/')) {
        return {std::string{key}, std::nullopt};
    }
    return {std::string{key.substr(0, begin)}.append(parsed.ptr, end), era};
}

} // namespace jujubevalve
