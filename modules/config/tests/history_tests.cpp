#include "table_fixtures.h"

// Last: CppUTest defines a macro named `new`.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::fixtures;

namespace
{
// Returns a log entry that adds a route named after the entry's version.
config_log_entry entry(std::int64_t version, std::int64_t term = 1)
{
    const auto row = a_route("r" + std::to_string(version));
    return {version, "id", "ada", time_ms{version}, term, {{{row.name, std::nullopt, row}}, {}}};
}
} // namespace

TEST_GROUP(history){};

TEST(history, diff_and_changes_are_inverse)
{
    auto changed = a_route("b");
    changed.max_tokens = 1;
    const config_snapshot from{1, 1, routes({a_route("a"), a_route("b")}), pools({a_pool("p")})};
    const config_snapshot to{1, 2, routes({changed, a_route("c")}), {}};
    const auto changes = diff(from, to);
    CHECK_EQUAL(4U, changes.size());
    CHECK(with_changes(from, changes, 1, 2).value() == to);
    CHECK(!with_changes(to, changes, 1, 3));
    CHECK(diff(to, to).empty());
}

// Guards against a router that reverts to an older configuration, when a peer or the platform
// offers an older version, or a version of an earlier term.
TEST(history, version_and_term_never_decrease)
{
    config_history history;
    CHECK(history.adopt(entry(1)) == adopt_outcome::adopted);
    CHECK(history.adopt(entry(2, 2)) == adopt_outcome::adopted);
    CHECK(history.adopt(entry(1)) == adopt_outcome::already_known);
    CHECK(history.adopt(entry(2, 2)) == adopt_outcome::already_known);
    CHECK(history.adopt(entry(3, 1)) == adopt_outcome::lower_term);
    CHECK(history.adopt(config_snapshot{1, 9, {}, {}}) == adopt_outcome::lower_term);
    CHECK(history.adopt(config_snapshot{5, 2, {}, {}}) == adopt_outcome::already_known);
    CHECK_EQUAL(2, history.version());
    CHECK_EQUAL(2, history.term());
    CHECK_EQUAL(2U, history.current()->routes().size());
}

TEST(history, rejects_gaps_and_diverging_rows)
{
    config_history history;
    CHECK(history.adopt(entry(2)) == adopt_outcome::gap);
    CHECK(history.adopt(entry(1)) == adopt_outcome::adopted);
    auto other = entry(1);
    other.version = 2;
    CHECK(history.adopt(other) == adopt_outcome::diverged);
    CHECK_EQUAL(1, history.version());
}

// Guards against entries whose combined effect differs from that of adopting them one by one.
TEST(history, batch_has_the_same_effect_as_single_entries)
{
    config_history one_by_one;
    config_history batch;
    CHECK(batch.adopt(entry(1)) == adopt_outcome::adopted);
    std::vector<config_log_entry> entries;
    for (std::int64_t version = 1; version <= 4; ++version) {
        entries.push_back(entry(version, version < 3 ? 1 : 2));
        one_by_one.adopt(entries.back());
    }
    CHECK(batch.adopt(entries) == adopt_outcome::adopted);
    CHECK(*batch.current() == *one_by_one.current());
    CHECK(*batch.entries_since(1) == *one_by_one.entries_since(1));
    CHECK(batch.adopt(entries) == adopt_outcome::already_known);
    CHECK(batch.adopt(std::vector<config_log_entry>{}) == adopt_outcome::already_known);
}

// Guards against a batch that is applied partially when one of its entries is rejected.
TEST(history, batch_is_rejected_as_a_whole)
{
    config_history history;
    CHECK(history.adopt(std::vector{entry(1), entry(3)}) == adopt_outcome::gap);
    CHECK(history.adopt(std::vector{entry(1, 2), entry(2, 1)}) == adopt_outcome::lower_term);
    auto other = entry(1);
    other.version = 2;
    CHECK(history.adopt(std::vector{entry(1), other}) == adopt_outcome::diverged);
    CHECK_EQUAL(0, history.version());
    CHECK(history.current()->routes().empty());
    CHECK(history.entries_since(0)->empty());
}

// Guards against unbounded memory use, and against a peer that receives a list with a gap.
TEST(history, keeps_a_bounded_number_of_entries)
{
    config_history history{3};
    for (std::int64_t version = 1; version <= 5; ++version) {
        history.adopt(entry(version));
    }
    CHECK(!history.entries_since(1));
    CHECK_EQUAL(3U, history.entries_since(2)->size());
    CHECK_EQUAL(4, history.entries_since(3)->front().version);
    CHECK_EQUAL(1U, history.entries_since(3, 1)->size());
    CHECK(history.entries_since(5)->empty());
    CHECK(history.adopt(config_snapshot{1, 8, {}, {}}) == adopt_outcome::adopted);
    CHECK(!history.entries_since(5));
}

// Guards against a snapshot that changes while a reader uses it.
TEST(history, adopt_does_not_change_earlier_snapshots)
{
    config_history history;
    const auto before = history.current();
    history.adopt(entry(1));
    CHECK(before->routes().empty());
}
