#include "config/config_codec.h"

#include "config/config_rows.h"
#include "config/row_reader.h"

#include <fmt/format.h>
#include <set>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
// Max request body that the caller API accepts, in bytes.
constexpr std::int64_t max_body_bytes = 4'194'304;
constexpr std::int64_t max_slots = 1'000'000;

// Detects a duplicate field in a JSON object from the parser's events. The JSON library itself
// would keep the last of the values without an error.
class duplicate_field_finder
{
public:
    void on_event(json::parse_event_t event, const json& parsed)
    {
        if (event == json::parse_event_t::object_start) {
            open_objects_.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_objects_.pop_back();
        } else if (event == json::parse_event_t::key) {
            const auto& field = parsed.get_ref<const std::string&>();
            if (!open_objects_.back().insert(field).second && duplicate_field_.empty()) {
                duplicate_field_ = field;
            }
        }
    }
    [[nodiscard]] const std::string& duplicate() const { return duplicate_field_; }

private:
    std::vector<std::set<std::string>> open_objects_; // fields read so far, outermost object first
    std::string duplicate_field_;
};

std::string row_location(std::string_view table, const json& row)
{
    const auto name = row.is_object() ? row.find("name") : row.end();
    return fmt::format("{} row {}", table,
                       name == row.end() ? "without name" : format_value(*name));
}

json to_json(const backend_server& server)
{
    return {{"name", server.name},
            {"address", server.address},
            {"failure_domain", server.failure_domain},
            {"slots", server.slots},
            {"leaving", server.leaving}};
}

backend_server parse_server(const std::string& pool_location, const json& object,
                            std::vector<failure>& errors)
{
    row_reader reader{pool_location + row_location(", servers", object), object, errors};
    backend_server server;
    server.name = reader.name("name");
    server.address = reader.address("address");
    server.failure_domain = reader.name("failure_domain");
    server.slots = reader.number("slots", 1, max_slots);
    server.leaving = reader.flag("leaving");
    reader.reject_unknown_fields();
    return server;
}

template <class Row>
json optional_row(const std::optional<Row>& row)
{
    return row ? to_json(*row) : json{};
}

template <class Row>
void append_changes(json& list, std::string_view table, const std::vector<row_change<Row>>& changes)
{
    for (const auto& change : changes) {
        list.push_back({{"table", table},
                        {"name", change.name},
                        {"before", optional_row(change.before)},
                        {"after", optional_row(change.after)}});
    }
}

template <class Row>
json rows_json(const std::map<std::string, Row, std::less<>>& table)
{
    auto rows = json::array();
    for (const auto& [name, row] : table) {
        rows.push_back(to_json(row));
    }
    return rows;
}

template <class Parse>
auto parse_change(row_reader& reader, Parse parse, std::vector<failure>& errors)
{
    const auto parse_side = [&](const std::string& field) {
        const auto& side = reader.raw_value(field);
        return side.is_null() ? decltype(parse(side, errors)){} : parse(side, errors);
    };
    const auto name = reader.name("name");
    auto before = parse_side("before");
    auto after = parse_side("after");
    if (!before && !after) {
        reader.fail("after", "null", "a row before or after the change");
    }
    if ((before && before->name != name) || (after && after->name != name)) {
        reader.fail("name", name, "the name of the rows");
    }
    using row = typename decltype(before)::value_type;
    return row_change<row>{name, std::move(before), std::move(after)};
}

config_changes parse_changes(const json& list, std::vector<failure>& errors)
{
    config_changes changes;
    for (const auto& change : list) {
        row_reader reader{row_location("changes", change), change, errors};
        if (reader.choice("table", "routes", "pools")) {
            changes.pools.push_back(parse_change(reader, &parse_pool, errors));
        } else {
            changes.routes.push_back(parse_change(reader, &parse_route, errors));
        }
        reader.reject_unknown_fields();
    }
    return changes;
}

template <class Parse>
auto decode_with(std::string_view text, Parse parse)
    -> result<decltype(parse(std::declval<const json&>(), std::declval<std::vector<failure>&>()))>
{
    const auto parsed = parse_strict_json(text);
    if (!parsed) {
        return failure{result_code::malformed_row, parsed.error().message};
    }
    std::vector<failure> errors;
    auto value = parse(*parsed, errors);
    if (!errors.empty()) {
        return failure{result_code::malformed_row, join(errors).message};
    }
    return value;
}

template <class Row>
void add_unique(std::map<std::string, Row, std::less<>>& table, std::optional<Row> row,
                std::string_view table_name, std::vector<failure>& errors)
{
    if (!row) {
        return;
    }
    auto name = row->name;
    if (table.contains(name)) {
        errors.push_back({result_code::duplicate_name,
                          fmt::format("{} row \"{}\": the name occurs twice", table_name, name)});
        return;
    }
    table.emplace(std::move(name), std::move(*row));
}

template <class Row, class Decode>
status collect_rows(const std::vector<table_row>& rows, std::string_view prefix, Decode decode,
                    std::map<std::string, Row, std::less<>>& table)
{
    for (const auto& row : rows) {
        auto decoded = decode(row.value);
        if (!decoded) {
            return failure{decoded.error().code,
                           fmt::format("row {}: {}", row.key, decoded.error().message)};
        }
        if (row.key != std::string{prefix}.append(decoded->name)) {
            return failure{result_code::malformed_row,
                           fmt::format("row {}: holds the row of \"{}\"", row.key, decoded->name)};
        }
        auto name = decoded->name;
        table.emplace(std::move(name), std::move(decoded).value());
    }
    return success();
}
} // namespace

result<json> parse_strict_json(std::string_view text)
{
    duplicate_field_finder finder;
    try {
        auto parsed = json::parse(text, [&](int /*depth*/, json::parse_event_t event, json& value) {
            finder.on_event(event, value);
            return true;
        });
        if (!finder.duplicate().empty()) {
            return failure{
                result_code::malformed_json,
                fmt::format("the field \"{}\" occurs twice in one object", finder.duplicate())};
        }
        return parsed;
    } catch (const json::parse_error& error) {
        return failure{result_code::malformed_json,
                       fmt::format("not valid JSON at byte {}", error.byte)};
    }
}

json to_json(const route& row)
{
    return {{"name", row.name},
            {"account", row.account},
            {"key_digest", row.key_digest},
            {"request_kind", row.request_kind},
            {"pool", row.pool},
            {"idempotent", row.idempotent},
            {"priority", row.priority},
            {"max_tokens", row.max_tokens},
            {"fixed_cost_tokens", row.fixed_cost_tokens},
            {"max_request_bytes", row.max_request_bytes}};
}

json to_json(const pool& row)
{
    auto servers = json::array();
    for (const auto& server : row.servers) {
        servers.push_back(to_json(server));
    }
    return {{"name", row.name},
            {"kind", row.kind == service_kind::engine ? "engine" : "plain"},
            {"servers_of", row.servers_of},
            {"servers", std::move(servers)},
            {"budget", row.budget},
            {"limit_tokens", row.limit_tokens},
            {"safety_margin_tokens", row.safety_margin_tokens},
            {"checks_fencing", row.checks_fencing}};
}

std::optional<route> parse_route(const json& row, std::vector<failure>& errors)
{
    const auto errors_before = errors.size();
    row_reader reader{row_location("routes", row), row, errors};
    route parsed;
    parsed.name = reader.name("name");
    parsed.account = reader.name("account");
    parsed.key_digest = reader.digest("key_digest");
    parsed.request_kind = reader.name("request_kind");
    parsed.pool = reader.name("pool");
    parsed.idempotent = reader.flag("idempotent");
    parsed.priority = static_cast<int>(reader.number("priority", 0, 9));
    parsed.max_tokens = reader.number("max_tokens", 1, max_token_count);
    parsed.fixed_cost_tokens = reader.number("fixed_cost_tokens", 0, max_token_count);
    parsed.max_request_bytes = reader.number("max_request_bytes", 1, max_body_bytes);
    reader.reject_unknown_fields();
    return errors.size() == errors_before ? std::optional{std::move(parsed)} : std::nullopt;
}

std::optional<pool> parse_pool(const json& row, std::vector<failure>& errors)
{
    const auto errors_before = errors.size();
    row_reader reader{row_location("pools", row), row, errors};
    pool parsed;
    parsed.name = reader.name("name");
    parsed.kind =
        reader.choice("kind", "engine", "plain") ? service_kind::plain : service_kind::engine;
    parsed.servers_of = reader.optional_name("servers_of");
    for (const auto& server : reader.list("servers")) {
        parsed.servers.push_back(parse_server(reader.location(), server, errors));
    }
    parsed.budget = reader.name("budget");
    parsed.limit_tokens = reader.number("limit_tokens", 0, max_token_count);
    parsed.safety_margin_tokens = reader.number("safety_margin_tokens", 0, max_token_count);
    parsed.checks_fencing = reader.flag("checks_fencing");
    reader.reject_unknown_fields();
    return errors.size() == errors_before ? std::optional{std::move(parsed)} : std::nullopt;
}

std::string encode(const route& row)
{
    return to_json(row).dump();
}

std::string encode(const pool& row)
{
    return to_json(row).dump();
}

std::string encode(const config_log_entry& entry)
{
    auto changes = json::array();
    append_changes(changes, "routes", entry.changes.routes);
    append_changes(changes, "pools", entry.changes.pools);
    return json{{"version", entry.version},
                {"apply_id", entry.apply_id},
                {"operator", entry.operator_name},
                {"at_ms", entry.at.count()},
                {"term", entry.term},
                {"changes", std::move(changes)}}
        .dump();
}

std::string encode(const config_snapshot& snapshot)
{
    return json{{"term", snapshot.term()},
                {"version", snapshot.version()},
                {"routes", rows_json(snapshot.routes())},
                {"pools", rows_json(snapshot.pools())}}
        .dump();
}

result<route> decode_route(std::string_view text)
{
    return decode_with(text, [](const json& row, std::vector<failure>& errors) {
        return parse_route(row, errors).value_or(route{});
    });
}

result<pool> decode_pool(std::string_view text)
{
    return decode_with(text, [](const json& row, std::vector<failure>& errors) {
        return parse_pool(row, errors).value_or(pool{});
    });
}

result<config_log_entry> decode_log_entry(std::string_view text)
{
    return decode_with(text, [](const json& object, std::vector<failure>& errors) {
        row_reader reader{"log entry", object, errors};
        config_log_entry entry;
        entry.version = reader.number("version", 1, max_config_version);
        entry.apply_id = reader.text("apply_id");
        entry.operator_name = reader.text("operator");
        entry.at = time_ms{reader.number("at_ms", 0, INT64_MAX)};
        entry.term = reader.number("term", 1, INT64_MAX);
        entry.changes = parse_changes(reader.list("changes"), errors);
        reader.reject_unknown_fields();
        return entry;
    });
}

result<config_snapshot> decode_snapshot(std::string_view text)
{
    return decode_with(text, [](const json& object, std::vector<failure>& errors) {
        row_reader reader{"snapshot", object, errors};
        const auto term = reader.number("term", 0, INT64_MAX);
        const auto version = reader.number("version", 0, max_config_version);
        config_snapshot::route_table routes;
        for (const auto& row : reader.list("routes")) {
            add_unique(routes, parse_route(row, errors), "routes", errors);
        }
        config_snapshot::pool_table pools;
        for (const auto& row : reader.list("pools")) {
            add_unique(pools, parse_pool(row, errors), "pools", errors);
        }
        reader.reject_unknown_fields();
        return config_snapshot{term, version, std::move(routes), std::move(pools)};
    });
}

result<std::vector<config_log_entry>> decode_log(const std::vector<table_row>& rows,
                                                 std::int64_t after_version)
{
    std::vector<config_log_entry> entries;
    for (const auto& row : rows) {
        auto entry = decode_log_entry(row.value);
        if (!entry) {
            return failure{entry.error().code,
                           fmt::format("row {}: {}", row.key, entry.error().message)};
        }
        const auto expected = after_version + 1 + static_cast<std::int64_t>(entries.size());
        if (row.key != config_log_key(expected) || entry->version != expected) {
            return failure{result_code::malformed_row,
                           fmt::format("row {}: has version {}, expected version {}", row.key,
                                       entry->version, expected)};
        }
        entries.push_back(std::move(entry).value());
    }
    return entries;
}

result<config_snapshot> decode_tables(std::int64_t version, std::string_view entry,
                                      const std::vector<table_row>& routes,
                                      const std::vector<table_row>& pools)
{
    std::int64_t term = 0;
    if (version > 0) {
        const auto decoded = decode_log_entry(entry);
        if (!decoded) {
            return failure{decoded.error().code, fmt::format("row {}: {}", config_log_key(version),
                                                             decoded.error().message)};
        }
        term = decoded->term;
    }
    config_snapshot::route_table route_rows;
    config_snapshot::pool_table pool_rows;
    if (const auto collected = collect_rows(routes, routes_prefix, &decode_route, route_rows);
        !collected) {
        return collected.error();
    }
    if (const auto collected = collect_rows(pools, pools_prefix, &decode_pool, pool_rows);
        !collected) {
        return collected.error();
    }
    return config_snapshot{term, version, std::move(route_rows), std::move(pool_rows)};
}

failure join(const std::vector<failure>& errors)
{
    failure joined;
    for (const auto& error : errors) {
        if (joined.code == result_code::ok) {
            joined = error;
        } else {
            joined.message += "\n" + error.message;
        }
    }
    return joined;
}

} // namespace jujubevalve
