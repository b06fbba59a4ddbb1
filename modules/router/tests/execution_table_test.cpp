#include "router/execution_table.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(execution_table)
{
    execution_table table{"entry-1-0000000000000001", key_epochs{}};
    execution_request request{"clerk", "key-1", "digest", true, 0, 0, true};
};

// Guards against a second run for a retry that arrives while the first attempt runs.
TEST(execution_table, retry_joins_the_execution_in_progress)
{
    const auto first = table.begin(request, time_ms{0});
    CHECK(first.begin.action == begin_action::start);
    const auto second = table.begin(request, time_ms{1});
    CHECK(second.begin.action == begin_action::join);
    CHECK(first.running == second.running);
}

// Guards against a replay that merges the streamed parts into one; its event indexes would differ
// from those of the original answer, and a caller would treat it as corrupt.
TEST(execution_table, replay_keeps_the_parts_of_the_original_answer)
{
    const auto first = table.begin(request, time_ms{0});
    first.running->append("a ");
    first.running->append("b");
    table.with_registry([&](auto& all) {
        CHECK(all.mark_sent(first.begin.id));
        all.mark_answered(first.begin.id, {200, "text/plain", "a b", 5}, time_ms{1});
    });
    first.running->finish({std::nullopt, run_outcome::answered});
    table.ended(first.begin.id);
    const auto again = table.begin(request, time_ms{2});
    CHECK(again.begin.action == begin_action::answered);
    CHECK(again.running == first.running);
    CHECK_EQUAL(2U, again.running->read(0, time_ms{0}).parts.size());
}
