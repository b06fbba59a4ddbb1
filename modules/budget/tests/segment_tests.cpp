#include "budget/budget.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(segments){};

// Guards against a repeated put with different content, which could change a bill already read.
TEST(segments, a_segment_is_repeated_unchanged_until_acknowledged)
{
    segment_writer writer{"a"};
    writer.add_bill({"council", "k1", "b", 5});
    const auto first = writer.cut({{"b", 5}}, {{"s", 1}}, {});
    writer.add_bill({"council", "k2", "b", 7});
    CHECK(writer.cut({{"b", 12}}, {{"s", 2}}, {}) == first);
    writer.acknowledge(7);
    CHECK(writer.has_pending());
    writer.acknowledge(1);
    const auto second = writer.cut({{"b", 12}}, {{"s", 2}}, {});
    CHECK_EQUAL(2, second->seq);
    CHECK_EQUAL(1U, second->bills.size());
}

// Guards against segments written when nothing has changed, and against a missing segment when the
// only change is a started or ended request.
TEST(segments, only_changes_create_a_segment)
{
    segment_writer writer{"a"};
    CHECK(!writer.cut({}, {}, {}).has_value());
    CHECK(writer.cut({}, {{"s", 1}}, {{"s", 0, "b", 40}}).has_value());
    writer.acknowledge(1);
    CHECK(!writer.cut({}, {{"s", 1}}, {{"s", 0, "b", 40}}).has_value());
    CHECK(writer.cut({}, {{"s", 1}}, {}).has_value());
}

// Guards against billing a request key twice (guarantee G2) when two incarnations or two segments
// contain it.
TEST(segments, each_request_key_is_billed_once)
{
    segment_reader reader;
    const segment first{"a", 1, {{"b", 5}}, {{"council", "k", "b", 5}}, {}, {}};
    const segment other{"c", 1, {{"b", 6}}, {{"council", "k", "b", 6}, {"depot", "k", "b", 1}},
                        {},  {}};
    reader.add(other);
    reader.add(first);
    reader.add(first);
    CHECK_EQUAL(2U, reader.bill().size());
    CHECK_EQUAL(6, reader.billed().at("b"));
    CHECK_EQUAL(11, reader.spent().at("b"));
}

// Guards against wrong totals when segments arrive out of order, and against undetected gaps.
TEST(segments, totals_are_cumulative_and_gaps_are_found)
{
    segment_reader reader;
    reader.add({"a", 4, {{"b", 20}}, {}, {{"s", 9}}, {{"s", 8, "b", 3}}});
    reader.add({"a", 1, {{"b", 5}, {"c", 1}}, {}, {{"s", 2}}, {{"s", 1, "b", 3}}});
    const auto account = reader.account("a");
    CHECK_EQUAL(20, account.spent.at("b"));
    CHECK_EQUAL(1, account.spent.at("c"));
    CHECK_EQUAL(9, account.next.at("s"));
    CHECK_EQUAL(8, account.open.front().n);
    CHECK(account.gaps == (std::vector<std::int64_t>{2, 3}));
    CHECK(!account.recovered);
    reader.add({"a", recovery_segment_seq, {{"b", 23}}, {}, {}, {}});
    CHECK(reader.account("a").recovered);
    CHECK(reader.account("a").open.empty());
    CHECK_EQUAL(4, reader.account("a").last_seq);
}
