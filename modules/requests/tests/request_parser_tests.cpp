#include "requests/requests.h"

#include <CppUTest/TestHarness.h>
#include <fmt/core.h>
#include <random>

using namespace jujubevalve;

namespace
{
const request_parser parser{request_limits{4096}};

std::string chat(const std::string& extra_fields)
{
    return R"({"model":"m","messages":[{"role":"user","content":"hi"}])" + extra_fields + "}";
}

result_code code_of(const std::string& body)
{
    const auto parsed = parser.parse_chat(body);
    return parsed ? result_code::ok : parsed.error().code;
}
} // namespace

TEST_GROUP(request_parsing){};

// Guards against different errors that share one code, so that a caller cannot tell them apart.
TEST(request_parsing, each_error_has_its_own_code)
{
    using enum result_code;
    const std::pair<std::string, result_code> cases[] = {
        {chat(""), ok},
        {chat(R"(,"max_tokens":5,"stream":true,"stop":["a"],"temperature":1)"), ok},
        {chat(R"(,"max_tokens":null,"max_completion_tokens":7)"), ok},
        {R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]})",
         ok},
        {"{", malformed_json},
        {"", malformed_json},
        {"{\"model\":\"\xff\"}", malformed_json},
        {std::string(100, '[') + std::string(100, ']'), malformed_json},
        {"[]", invalid_field},
        {R"({"messages":[]})", missing_field},
        {R"({"model":"m"})", missing_field},
        {R"({"model":"m","messages":[{"role":"user"}]})", missing_field},
        {R"({"model":"m","messages":[{"content":"x"}]})", missing_field},
        {R"({"model":7,"messages":[]})", invalid_field},
        {R"({"model":"m","messages":[]})", invalid_field},
        {R"({"model":"m","messages":[1]})", invalid_field},
        {R"({"model":"m","messages":[{"role":"x","content":"x"}]})", invalid_field},
        {R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
         invalid_field},
        {chat(R"(,"stream":1)"), invalid_field},
        {chat(R"(,"stop":[1])"), invalid_field},
        {chat(R"(,"n":2)"), invalid_field},
        {chat(R"(,"temperature":-1)"), invalid_field},
        {chat(R"(,"max_tokens":-1)"), invalid_token_count},
        {chat(R"(,"max_tokens":0)"), invalid_token_count},
        {chat(R"(,"max_tokens":1.5)"), invalid_token_count},
        {chat(R"(,"max_tokens":"9")"), invalid_token_count},
        {chat(R"(,"max_tokens":9223372036854775808)"), invalid_token_count},
        {chat(R"(,"max_tokens":99999999999999999999999)"), invalid_token_count},
        {chat(R"(,"max_tokens":1,"max_completion_tokens":2)"), invalid_token_count},
        {std::string(5000, ' '), request_too_large},
    };
    for (const auto& [body, expected] : cases) {
        CHECK_EQUAL_TEXT(describe(expected).name.data(), describe(code_of(body)).name.data(),
                         body.c_str());
    }
}

TEST(request_parsing, reserves_body_bytes_and_answer_tokens)
{
    route row;
    row.max_tokens = 100;
    const auto body = chat(R"(,"max_completion_tokens":40)");
    const auto request = parser.parse_chat(body);
    CHECK_EQUAL(static_cast<token_count>(body.size()) + 40,
                *request_parser::reservation(*request, row));
    // The engine gets the reserved max_tokens even if the caller specified none.
    const auto bare = parser.parse_chat(chat(""));
    CHECK_EQUAL(100, *request_parser::answer_tokens(*bare, row));
    CHECK(request_parser::engine_body(*bare, 100).find(R"("max_tokens":100)") != std::string::npos);
    row.max_tokens = 39;
    CHECK(request_parser::reservation(*request, row).error().code ==
          result_code::token_limit_exceeded);
    row.max_request_bytes = 10;
    CHECK(request_parser::reservation(*request, row).error().code ==
          result_code::request_too_large);
}

TEST(request_parsing, a_plain_call_reserves_the_fixed_cost_of_its_route)
{
    route row;
    row.fixed_cost_tokens = 50;
    const auto call = parser.parse_call("orders", R"({"bins":3})");
    CHECK_EQUAL(50, *request_parser::reservation(*call, row));
    row.fixed_cost_tokens = -1;
    CHECK(request_parser::reservation(*call, row).error().code == result_code::invalid_token_count);
    CHECK(!parser.parse_call("orders", "{"));
    CHECK(!parser.parse_call("", "{}"));
    CHECK(parser.parse_call("other", R"({"bins":3})")->body_digest != call->body_digest);
}

// Guards against crashes and exceptions on corrupted bodies.
TEST(request_parsing, handles_randomly_corrupted_bodies)
{
    constexpr unsigned seed = 20261204;
    std::mt19937 random{seed};
    const auto valid = chat(R"(,"max_tokens":5,"stop":["\u0041"],"x":{"y":[1e3,null]})");
    for (int i = 0; i < 20'000; ++i) {
        auto body = valid;
        for (unsigned n = random() % 4; n < 4; ++n) {
            body[random() % body.size()] = static_cast<char>(random());
        }
        const auto parsed = parser.parse_chat(body.substr(0, random() % (body.size() + 1)));
        if (parsed) {
            CHECK_TEXT(!request_parser::engine_body(*parsed, 1).empty(),
                       fmt::format("seed {}, body {}", seed, i).c_str());
        }
    }
}
