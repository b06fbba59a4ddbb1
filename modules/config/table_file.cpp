#include "config/table_file.h"

#include "config/config_codec.h"
#include "config/config_rows.h"
#include "config/row_reader.h"

#include <fmt/format.h>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
template <class Row, class Parse>
std::map<std::string, Row, std::less<>> parse_table(std::string_view table_name, const json& list,
                                                    Parse parse, std::vector<failure>& errors)
{
    std::map<std::string, Row, std::less<>> table;
    for (const auto& item : list) {
        auto row = parse(item, errors);
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

template <class Row>
void append_table(std::string& text, std::string_view table_name,
                  const std::map<std::string, Row, std::less<>>& table)
{
    text += fmt::format(",\n  \"{}\": [", table_name);
    const char* separator = "\n";
    for (const auto& [name, row] : table) {
        auto lines = nlohmann::ordered_json::parse(to_json(row).dump()).dump(2);
        for (std::size_t at = lines.find('\n'); at != std::string::npos;
             at = lines.find('\n', at + 1)) {
            lines.insert(at + 1, "    ");
        }
        text += fmt::format("{}    {}", separator, lines);
        separator = ",\n";
    }
    text += table.empty() ? "]" : "\n  ]";
}
} // namespace

std::optional<table_file> parse_table_file(std::string_view text, std::vector<failure>& errors)
{
    const auto earlier = errors.size();
    const auto parsed = parse_strict_json(text);
    if (!parsed) {
        errors.push_back(parsed.why());
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
    reader.finish();
    return errors.size() == earlier ? std::optional{std::move(file)} : std::nullopt;
}

std::string to_text(const table_file& file)
{
    auto text = fmt::format("{{\n  \"version\": {}", file.version.value_or(0));
    if (file.routes) {
        append_table(text, "routes", *file.routes);
    }
    if (file.pools) {
        append_table(text, "pools", *file.pools);
    }
    return text + "\n}\n";
}

} // namespace jujubevalve
