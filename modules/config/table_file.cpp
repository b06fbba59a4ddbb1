#include "config/table_file.h"

#include "config/config_codec.h"
#include "config/config_rows.h"
#include "config/row_reader.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
std::string servers_text(const json& servers, const std::string& indent);

template <class Row, class Parse>
std::map<std::string, Row, std::less<>> parse_table(std::string_view table_name, const json& list,
                                                    Parse parse, std::vector<failure>& errors)
{
    std::map<std::string, Row, std::less<>> table;
    for (const auto& row_json : list) {
        auto row = parse(row_json, errors);
        if (!row) {
            continue;
        }
        auto name = row->name;
        if (!table.emplace(name, std::move(*row)).second) {
            errors.push_back(
                {result_code::duplicate_name,
                 fmt::format("{} row \"{}\": field \"name\" is \"{}\", expected a name "
                             "that no other row has",
                             table_name, name, name)});
        }
    }
    return table;
}

constexpr std::array route_fields{
    "name",       "account",  "key_digest", "request_kind",      "pool",
    "idempotent", "priority", "max_tokens", "fixed_cost_tokens", "max_request_bytes"};
constexpr std::array pool_fields{
    "name",   "kind",         "servers_of",           "servers",
    "budget", "limit_tokens", "safety_margin_tokens", "checks_fencing"};
constexpr std::array server_fields{"name", "address", "failure_domain", "slots", "leaving"};

// Formats the object with its fields in the given order, on one line if `indent` is empty.
// Otherwise each field follows an `indent`, which starts with a line break.
template <std::size_t N>
std::string object_text(const json& object, const std::array<const char*, N>& fields,
                        const std::string& indent)
{
    std::string text = "{";
    for (const auto* const field : fields) {
        const auto& value = object.at(field);
        if (text.size() > 1) {
            text += indent.empty() ? ", " : ",";
        }
        text += indent;
        text += fmt::format("\"{}\": {}", field,
                            value.is_array() ? servers_text(value, indent) : value.dump());
    }
    return text + indent.substr(0, indent.size() - std::min<std::size_t>(indent.size(), 2)) + "}";
}

std::string servers_text(const json& servers, const std::string& indent)
{
    std::string text = "[";
    const char* separator = "";
    for (const auto& server : servers) {
        text += separator + indent + "  " + object_text(server, server_fields, {});
        separator = ",";
    }
    return text + (servers.empty() ? "" : indent) + "]";
}

template <class Row, std::size_t N>
void append_table(std::string& text, std::string_view table_name,
                  const std::map<std::string, Row, std::less<>>& table,
                  const std::array<const char*, N>& fields)
{
    text += fmt::format(",\n  \"{}\": [", table_name);
    const char* separator = "\n    ";
    for (const auto& [name, row] : table) {
        text += separator + object_text(to_json(row), fields, "\n      ");
        separator = ",\n    ";
    }
    text += table.empty() ? "]" : "\n  ]";
}
} // namespace

std::optional<table_file> parse_table_file(std::string_view text, std::vector<failure>& errors)
{
    const auto errors_before = errors.size();
    const auto parsed = parse_strict_json(text);
    if (!parsed) {
        errors.push_back(parsed.error());
        return std::nullopt;
    }
    row_reader reader{"table file", *parsed, errors};
    table_file file;
    if (reader.has("version")) {
        file.version = reader.number("version", 0, max_config_version);
    }
    if (reader.has("routes")) {
        file.routes = parse_table<route>("routes", reader.list("routes"), &parse_route, errors);
    }
    if (reader.has("pools")) {
        file.pools = parse_table<pool>("pools", reader.list("pools"), &parse_pool, errors);
    }
    if (parsed->is_object() && !file.routes && !file.pools) {
        errors.push_back({result_code::invalid_table,
                          "table file: it has neither \"routes\" nor \"pools\", expected a list in "
                          "at least one of them"});
    }
    reader.reject_unknown_fields();
    return errors.size() == errors_before ? std::optional{std::move(file)} : std::nullopt;
}

std::string to_text(const table_file& file)
{
    auto text = fmt::format("{{\n  \"version\": {}", file.version.value_or(0));
    if (file.routes) {
        append_table(text, "routes", *file.routes, route_fields);
    }
    if (file.pools) {
        append_table(text, "pools", *file.pools, pool_fields);
    }
    return text + "\n}\n";
}

} // namespace jujubevalve
