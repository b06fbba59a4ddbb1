#include "storage/platform_codec.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
constexpr std::size_t max_scan_rows = 10'000;

result<std::string> dump(const json& body)
{
    try {
        return body.dump();
    } catch (const json::exception&) {
        return failure{result_code::malformed_json, "a key or value is not UTF-8"};
    }
}

// The JSON library throws if a field is missing or has the wrong type.
template <class Read>
auto decode(std::string_view body, Read read) -> result<decltype(read(std::declval<const json&>()))>
{
    try {
        return read(json::parse(body));
    } catch (const json::exception& error) {
        return failure{result_code::malformed_json,
                       std::string{"unexpected body from or for the platform: "} + error.what()};
    }
}

// An absent field stands for an empty list.
const json& optional_list(const json& object, const char* field)
{
    static const json empty = json::array();
    const auto found = object.find(field);
    return found == object.end() ? empty : *found;
}

commit_outcome parse_outcome(const std::string& name)
{
    if (name == "committed") {
        return commit_outcome::committed;
    }
    return name == "conflict" ? commit_outcome::conflict : commit_outcome::unknown;
}

std::string_view to_string(commit_outcome outcome)
{
    switch (outcome) {
    case commit_outcome::committed:
        return "committed";
    case commit_outcome::conflict:
        return "conflict";
    case commit_outcome::unavailable:
        return "unavailable";
    case commit_outcome::unknown:
        break;
    }
    return "unknown";
}
} // namespace

result<std::string> encode_transaction(const transaction& change)
{
    auto conditions = json::array();
    for (const auto& condition : change.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    }
    auto writes = json::array();
    for (const auto& write : change.writes) {
        writes.push_back({{"key", write.key}, {"value", write.value}});
    }
    return dump({{"conditions", std::move(conditions)},
                 {"writes", std::move(writes)},
                 {"deletes", change.deletes}});
}

result<transaction> decode_transaction(std::string_view body)
{
    return decode(body, [](const json& object) {
        transaction change;
        for (const auto& item : optional_list(object, "conditions")) {
            change.conditions.push_back(
                {item.at("key").get<std::string>(), item.at("version").get<std::int64_t>()});
        }
        for (const auto& item : optional_list(object, "writes")) {
            change.writes.push_back(
                {item.at("key").get<std::string>(), item.at("value").get<std::string>()});
        }
        change.deletes = optional_list(object, "deletes").get<std::vector<std::string>>();
        return change;
    });
}

result<std::string> encode_commit_result(const commit_result& commit)
{
    return dump({{"outcome", to_string(commit.outcome)},
                 {"versions", commit.versions},
                 {"conflicts", commit.conflicts}});
}

result<commit_result> decode_commit_result(std::string_view body)
{
    return decode(body, [](const json& object) {
        return commit_result{parse_outcome(object.at("outcome").get<std::string>()),
                             optional_list(object, "versions").get<std::vector<std::int64_t>>(),
                             optional_list(object, "conflicts").get<std::vector<std::string>>()};
    });
}

result<std::string> encode_rows(const std::vector<table_row>& rows)
{
    auto list = json::array();
    for (const auto& row : rows) {
        list.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
    }
    return dump({{"rows", std::move(list)}});
}

result<std::vector<table_row>> decode_rows(std::string_view body)
{
    return decode(body, [](const json& object) {
        std::vector<table_row> rows;
        for (const auto& item : object.at("rows")) {
            rows.push_back({item.at("key").get<std::string>(), item.at("value").get<std::string>(),
                            item.at("version").get<std::int64_t>()});
        }
        return rows;
    });
}

result<std::string> encode_names(std::string_view field, const std::vector<std::string>& names)
{
    return dump({{std::string{field}, names}});
}

result<std::vector<std::string>> decode_names(std::string_view field, std::string_view body)
{
    return decode(body, [&](const json& object) {
        return object.at(std::string{field}).get<std::vector<std::string>>();
    });
}

result<std::string> encode_scan(const scan_request& scan)
{
    return dump({{"prefix", scan.prefix}, {"after", scan.after}, {"limit", scan.limit}});
}

result<scan_request> decode_scan(std::string_view body)
{
    return decode(body, [](const json& object) {
        return scan_request{object.at("prefix").get<std::string>(),
                            object.at("after").get<std::string>(),
                            std::min(object.at("limit").get<std::size_t>(), max_scan_rows)};
    });
}

result<std::string> encode_instances(const std::vector<listed_instance>& instances)
{
    auto list = json::array();
    for (const auto& instance : instances) {
        list.push_back({{"name", instance.name},
                        {"address", instance.address},
                        {"failure_domain", instance.failure_domain},
                        {"state", to_string(instance.state)}});
    }
    return dump({{"instances", std::move(list)}});
}

result<std::vector<listed_instance>> decode_instances(std::string_view body)
{
    return decode(body, [](const json& object) {
        std::vector<listed_instance> instances;
        for (const auto& item : object.at("instances")) {
            const bool leaving = item.at("state").get<std::string>() == "leaving";
            instances.push_back({item.at("name").get<std::string>(),
                                 item.at("address").get<std::string>(),
                                 item.at("failure_domain").get<std::string>(),
                                 leaving ? instance_state::leaving : instance_state::live});
        }
        return instances;
    });
}

std::string_view to_string(instance_state state)
{
    return state == instance_state::leaving ? "leaving" : "live";
}

} // namespace jujubevalve
