#include "table_fixtures.h"

#include <nlohmann/json.hpp>

// Last: CppUTest defines a macro named `new`.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using nlohmann::json;

namespace
{
bool contains(const std::string& text, const std::string& substring)
{
    return text.find(substring) != std::string::npos;
}

// Returns the message for a route with one field replaced, or an empty string if it is accepted.
std::string route_error(const char* field, const json& value)
{
    auto row = to_json(fixtures::a_route("brief"));
    row[field] = value;
    std::vector<failure> errors;
    return parse_route(row, errors) ? std::string{} : join(errors).message;
}

std::string pool_error(const char* field, const json& value)
{
    auto row = to_json(fixtures::a_pool("grit"));
    row[field] = value;
    std::vector<failure> errors;
    return parse_pool(row, errors) ? std::string{} : join(errors).message;
}
} // namespace

TEST_GROUP(config_codec){};

// Guards against a field that is written but not read back.
TEST(config_codec, rows_round_trip)
{
    auto row = fixtures::a_route("order");
    row.idempotent = false;
    row.priority = 9;
    row.max_tokens = max_token_count;
    row.fixed_cost_tokens = 7;
    row.max_request_bytes = 5;
    CHECK(decode_route(encode(row)).value() == row);
    auto pool_row = fixtures::a_pool("yard");
    pool_row.kind = service_kind::plain;
    pool_row.checks_fencing = true;
    pool_row.servers.front().leaving = true;
    CHECK(decode_pool(encode(pool_row)).value() == pool_row);
    const config_snapshot snapshot{2, 5, fixtures::routes({row}), fixtures::pools({pool_row})};
    CHECK(decode_snapshot(encode(snapshot)).value() == snapshot);
    const config_log_entry entry{
        5,          "id", "ada",
        time_ms{9}, 2,    {{{"order", std::nullopt, row}}, {{"yard", pool_row, std::nullopt}}}};
    CHECK(decode_log_entry(encode(entry)).value() == entry);
}

// Guards against a misspelt field that is ignored, and against a missing field that silently gets a
// default value.
TEST(config_codec, rejects_unknown_and_missing_fields)
{
    CHECK(
        contains(route_error("max_token", 5), "routes row \"brief\": unknown field \"max_token\""));
    auto row = to_json(fixtures::a_pool("grit"));
    row.erase("limit_tokens");
    row.erase("budget");
    std::vector<failure> errors;
    CHECK(!parse_pool(row, errors));
    CHECK_EQUAL(2U, errors.size());
    CHECK(contains(join(errors).message, "pools row \"grit\": field \"limit_tokens\" is missing"));
}

// Guards against values that overflow or are converted from another type.
TEST(config_codec, rejects_numbers_out_of_range)
{
    CHECK_EQUAL(std::string{"routes row \"brief\": field \"max_tokens\" is -1, expected a whole "
                            "number from 1 to 1000000000000"},
                route_error("max_tokens", -1));
    CHECK(!route_error("max_tokens", max_token_count + 1).empty());
    CHECK(!route_error("max_tokens", json::parse("18446744073709551615")).empty());
    CHECK(!route_error("max_tokens", json::parse("99999999999999999999999")).empty());
    CHECK(!route_error("max_tokens", 1.5).empty());
    CHECK(!route_error("max_tokens", "4096").empty());
    CHECK(!route_error("priority", 10).empty());
    CHECK(!route_error("idempotent", 1).empty());
    CHECK(!pool_error("limit_tokens", -5).empty());
    CHECK(!pool_error("safety_margin_tokens", max_token_count + 1).empty());
    CHECK(!pool_error("kind", "engines").empty());
    CHECK(!pool_error("servers", json::object()).empty());
    CHECK(route_error("max_tokens", max_token_count).empty());
}

// Guards against names that collide with other keys in the platform, such as one with a slash.
TEST(config_codec, rejects_invalid_names)
{
    CHECK(!pool_error("budget", "a/b").empty());
    CHECK(!pool_error("budget", "").empty());
    CHECK(!route_error("account", std::string(65, 'a')).empty());
}

// Guards against an error message that shows a bearer key which an operator pasted instead of its
// digest.
TEST(config_codec, never_shows_an_invalid_key_digest)
{
    const auto error = route_error("key_digest", "bearer-key-of-the-clerk");
    CHECK(contains(error, "key_digest"));
    CHECK(!contains(error, "bearer-key"));
}

// Guards against server addresses that need a name lookup or have port 0.
TEST(config_codec, rejects_addresses_other_than_ip_and_port)
{
    for (const auto* const address :
         {"localhost:80", "127.0.0.1", "127.0.0.1:0", "1.2.3.4:65536"}) {
        auto row = to_json(fixtures::a_pool("grit"));
        row["servers"][0]["address"] = address;
        std::vector<failure> errors;
        CHECK(!parse_pool(row, errors));
        CHECK(contains(join(errors).message, "servers row \"server-grit\": field \"address\""));
    }
}

// Guards against a duplicate field whose last value is used without an error.
TEST(config_codec, rejects_a_duplicate_field)
{
    CHECK(!parse_strict_json(R"({"a":1,"b":{"a":2},"a":3})"));
    CHECK(parse_strict_json(R"({"a":1,"b":{"a":2}})").has_value());
    CHECK(!parse_strict_json("{"));
}

TEST(config_codec, table_file_round_trip)
{
    const table_file file{3, fixtures::routes({fixtures::a_route("brief")}), std::nullopt};
    std::vector<failure> errors;
    CHECK(parse_table_file(to_text(file), errors) == file);
    CHECK(errors.empty());
}

// Guards against a duplicate row name that drops one of the rows without an error.
TEST(config_codec, table_file_reports_duplicate_names)
{
    const auto row = encode(fixtures::a_route("brief"));
    std::vector<failure> errors;
    CHECK(!parse_table_file("{\"routes\":[" + row + "," + row + "]}", errors));
    CHECK(errors.front().code == result_code::duplicate_name);
    errors.clear();
    CHECK(!parse_table_file("{}", errors));
}

// Guards against a log that is accepted although a version is missing.
TEST(config_codec, log_rows_must_be_contiguous)
{
    const auto row = [](std::int64_t version) {
        return table_row{config_log_key(version),
                         encode(config_log_entry{version, "id", "ada", time_ms{1}, 1, {}}), 1};
    };
    CHECK_EQUAL(std::string{"config/log/000000000007"}, config_log_key(7));
    CHECK_EQUAL(2U, decode_log({row(3), row(4)}, 2)->size());
    CHECK(!decode_log({row(3), row(5)}, 2));
}
