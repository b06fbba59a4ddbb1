#include "budget/budget.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace jujubevalve;

TEST_GROUP(codecs){};

// Guards against rows that change when they are serialised and parsed.
TEST(codecs, rows_survive_a_round_trip)
{
    const ledger_row ledger{70};
    CHECK(*parse_ledger_row(to_text(ledger)) == ledger);
    const grant_row grant{-5, 3, {{"a-1", 7}}, {{"b-1", 12}}, true};
    CHECK(*parse_grant_row(to_text(grant)) == grant);
    CHECK(*parse_grant_row(to_text(grant_row{})) == grant_row{});
    const instance_row instance{"a",
                                "a-1",
                                "127.0.0.1:1",
                                "127.0.0.1:2",
                                "north-a",
                                "scot-north",
                                3,
                                incarnation_state::recovering,
                                12};
    CHECK(*parse_instance_row(to_text(instance)) == instance);
    auto advertised = instance;
    advertised.peer_bound = false;
    CHECK(*parse_instance_row(to_text(advertised)) == advertised);
    const term_row term{4, "braeside"};
    CHECK(*decode_term(encode(term)) == term);
    const segment written{
        "a-1", 9, {{"b", 5}}, {{"council", "k", "b", 5}}, {{"s", 2}}, {{"s", 1, "b", 40}}};
    CHECK(*parse_segment(to_text(written)) == written);
}

// Guards against treating an absent ledger or grant row as an error: the first grant creates them.
TEST(codecs, absent_ledger_and_grant_rows_hold_nothing)
{
    CHECK(*parse_ledger_row("") == ledger_row{});
    CHECK(*parse_grant_row("") == grant_row{});
}

// Guards against malformed rows that are parsed as zero, which would create or lose tokens.
TEST(codecs, malformed_rows_are_refused)
{
    const std::vector<std::string> ledgers{"x",
                                           "[]",
                                           "{}",
                                           R"({"allocated":-1})",
                                           R"({"allocated":1.5})",
                                           R"({"allocated":"1"})",
                                           R"({"allocated":9300000000000000000})"};
    for (const auto& text : ledgers) {
        const auto parsed = parse_ledger_row(text);
        CHECK(!parsed);
        CHECK(parsed.error().code == result_code::malformed_row);
    }
    CHECK(!parse_grant_row(R"({"granted":1,"seq":1,"sent":[],"received":{},"closed":false})"));
    CHECK(
        !parse_grant_row(R"({"granted":1,"seq":1,"sent":{"a":-1},"received":{},"closed":false})"));
    CHECK(!parse_grant_row(R"({"granted":1,"seq":1,"sent":{},"received":{},"closed":0})"));
    CHECK(!parse_instance_row(""));
    auto unknown_state = to_text(instance_row{});
    unknown_state.replace(unknown_state.find("active"), 6, "asleep");
    CHECK(!parse_instance_row(unknown_state));
    CHECK(!decode_term(R"({"term":"1","operator":"x"})"));
    CHECK(!parse_segment(R"({"incarnation":"a","seq":1,"budgets":[1]})"));
    CHECK(!parse_pool_limit(R"({"budget":"b"})"));
}

// Guards against a wrong limit when a pools row has other fields or no safety margin.
TEST(codecs, pool_limit_ignores_other_fields)
{
    const auto limit =
        parse_pool_limit(R"({"name":"p","kind":"engine","budget":"b","limit_tokens":90})");
    CHECK(*limit == (pool_limit{"b", 90, 0}));
}

// Guards against segment names whose order differs from the order of their numbers.
TEST(codecs, segment_names_sort_by_number)
{
    CHECK(segment_name("a", 9) < segment_name("a", 10));
    CHECK(segment_name("a", 10) < segment_name("a", recovery_segment_seq));
    CHECK_EQUAL(std::string{"a.s.4"}, server_request_key("a", "s", 4));
}
