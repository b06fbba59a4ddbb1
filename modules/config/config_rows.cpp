#include "config/config_rows.h"

#include "config/config_codec.h"
#include "config/row_reader.h"

#include <fmt/format.h>

namespace jujubevalve
{

namespace
{
template <class Parse>
auto decode_object(std::string_view text, const char* row_name, Parse parse)
    -> result<decltype(parse(std::declval<row_reader&>()))>
{
    const auto json = parse_strict_json(text);
    if (!json) {
        return failure{result_code::malformed_row,
                       fmt::format("row {}: {}", row_name, json.error().message)};
    }
    std::vector<failure> errors;
    row_reader reader{fmt::format("row {}", row_name), *json, errors};
    auto value = parse(reader);
    reader.reject_unknown_fields();
    if (!errors.empty()) {
        return failure{result_code::malformed_row, join(errors).message};
    }
    return value;
}
} // namespace

std::string config_log_key(std::int64_t version)
{
    return fmt::format("{}{:012}", config_log_prefix, version);
}

std::string route_key(std::string_view name)
{
    return std::string{routes_prefix}.append(name);
}

std::string pool_key(std::string_view name)
{
    return std::string{pools_prefix}.append(name);
}

std::string ledger_key(std::string_view budget)
{
    return std::string{ledger_prefix}.append(budget);
}

std::string encode(const term_row& row)
{
    return nlohmann::json{{"term", row.term}, {"operator", row.operator_name}}.dump();
}

result<term_row> decode_term(std::string_view text)
{
    if (text.empty()) {
        return term_row{};
    }
    return decode_object(text, "term", [](row_reader& reader) {
        return term_row{reader.number("term", 1, INT64_MAX), reader.text("operator")};
    });
}

std::string encode_config_head(std::int64_t version)
{
    return nlohmann::json{{"version", version}}.dump();
}

result<std::int64_t> decode_config_head(std::string_view text)
{
    if (text.empty()) {
        return std::int64_t{0};
    }
    return decode_object(text, "config/head", [](row_reader& reader) {
        return reader.number("version", 0, max_config_version);
    });
}

result<std::int64_t> decode_allocated(std::string_view text)
{
    if (text.empty()) {
        return std::int64_t{0};
    }
    return decode_object(text, "ledger", [](row_reader& reader) {
        return reader.number("allocated", 0, INT64_MAX);
    });
}

} // namespace jujubevalve
