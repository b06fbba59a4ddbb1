#include "ctl/row_differences.h"

#include "config/config_codec.h"

#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
using field_map = std::map<std::string, std::string>;

struct field_difference {
    std::string field;
    std::string before;
    std::string after;
};

// The fields of a row as texts; a server's fields get names like `servers.grit-1.slots`.
void flatten(const json& object, const std::string& prefix, field_map& fields)
{
    for (const auto& [name, value] : object.items()) {
        if (name != "servers") {
            fields[prefix + name] = value.dump();
            continue;
        }
        for (const auto& server : value) {
            flatten(server, fmt::format("servers.{}.", server.at("name").get<std::string>()),
                    fields);
        }
    }
}

template <class Row>
field_map fields_of(const std::optional<Row>& row)
{
    field_map fields;
    if (row) {
        flatten(to_json(*row), {}, fields);
    }
    return fields;
}

std::string value_of(const field_map& fields, const std::string& field)
{
    const auto found = fields.find(field);
    if (found == fields.end()) {
        return "(none)";
    }
    return field == "key_digest" ? "(not shown)" : found->second;
}

template <class Row>
std::vector<field_difference> differences(const row_change<Row>& change)
{
    const auto before = fields_of(change.before);
    const auto after = fields_of(change.after);
    auto all = before;
    all.insert(after.begin(), after.end());
    std::vector<field_difference> different;
    for (const auto& [field, value] : all) {
        const auto old = before.find(field);
        const auto now = after.find(field);
        if (old == before.end() || now == after.end() || old->second != now->second) {
            different.push_back({field, value_of(before, field), value_of(after, field)});
        }
    }
    return different;
}

template <class Row>
std::string kind_of(const row_change<Row>& change)
{
    return !change.before ? "add" : !change.after ? "remove" : "change";
}

template <class Row>
std::string table_text(const char* table, const std::vector<row_change<Row>>& changes)
{
    std::string text;
    for (const auto& change : changes) {
        text += fmt::format("{} {} row \"{}\"\n", kind_of(change), table, change.name);
        if (!change.before || !change.after) {
            continue;
        }
        for (const auto& [field, before, after] : differences(change)) {
            text += fmt::format("    {}: {} -> {}\n", field, before, after);
        }
    }
    return text;
}

template <class Row>
void append_table(json& list, const char* table, const std::vector<row_change<Row>>& changes)
{
    for (const auto& change : changes) {
        auto fields = json::array();
        for (const auto& [field, before, after] : differences(change)) {
            fields.push_back({{"field", field}, {"before", before}, {"after", after}});
        }
        list.push_back({{"table", table},
                        {"name", change.name},
                        {"change", kind_of(change)},
                        {"fields", std::move(fields)}});
    }
}
} // namespace

std::string changes_text(const config_changes& changes)
{
    return table_text("routes", changes.routes) + table_text("pools", changes.pools);
}

json changes_json(const config_changes& changes)
{
    auto list = json::array();
    append_table(list, "routes", changes.routes);
    append_table(list, "pools", changes.pools);
    return list;
}

} // namespace jujubevalve
