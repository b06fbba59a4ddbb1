#include "process/caller.h"
#include "process/fleet.h"
#include "process/open_chats.h"

#include <thread>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::process;

namespace
{
constexpr int streams = 6;

// Checks that every chat was answered whole and with the right text.
void check_answers(const open_chats& chats)
{
    for (const auto& caller : chats.callers()) {
        CHECK_FALSE_TEXT(caller->wrong(), caller->last_error().c_str());
    }
    LONGS_EQUAL_TEXT(static_cast<int>(chats.callers().size()), chats.whole(),
                     chats.callers().front()->last_error().c_str());
}

bool is_closed(fleet& all, const std::string& incarnation)
{
    return eventually([&] { return all.state_of(incarnation) == incarnation_state::closed; });
}

bool closed_at(fleet& all, const std::string& budget, const std::string& incarnation,
               token_count spent)
{
    const auto rows = all.budget(budget);
    const auto& row = rows.grants.at(incarnation);
    return row.closed && row.granted == spent && rows.granted() == rows.allocated;
}
} // namespace

TEST_GROUP(router_death){};

// G2, G3: guards against a stream that breaks, loses or doubles a token, or is generated again when
// its router is killed; against tokens that stay stranded in the dead incarnation's grant.
TEST(router_death, killed_router_streams_resume_elsewhere_and_its_grant_returns)
{
    fleet all;
    for (const auto* name : {"entry-a", "entry-b", "entry-c"}) {
        all.start_ready(name);
    }
    CHECK(all.wait_live("entry-b", 3));
    const auto dead = all.incarnation("entry-a");
    open_chats chats;
    chats.start("chat", all.addresses({"entry-a", "entry-b", "entry-c"}), streams, 200);
    CHECK(chats.all_received(10));
    all.router("entry-a").kill();
    chats.join();
    check_answers(chats);
    // No chat was generated a second time, so the engines' consumption is that of one run each.
    LONGS_EQUAL(streams, all.engine_total("starts"));
    CHECK(all.engine_total("resumes") >= streams);

    all.replace_router("entry-a");
    const auto consumed = all.consumed("briefs");
    CHECK(eventually([&] { return closed_at(all, "briefs", dead, consumed); }));
}

// G1, G3: guards against a recovery that closes a grant while a resumed stream still spends under
// it, and against wrong answers when that recovery cancels the stream.
TEST(router_death, successor_that_starts_at_once_leaves_spend_accounted)
{
    fleet all;
    for (const auto* name : {"entry-a", "entry-b"}) {
        all.start_ready(name);
    }
    CHECK(all.wait_live("entry-b", 2));
    const auto dead = all.incarnation("entry-a");
    open_chats chats;
    chats.start("chat", all.addresses({"entry-a", "entry-b"}), streams, 300);
    CHECK(chats.all_received(10));
    all.replace_router("entry-a");
    chats.join();
    check_answers(chats);
    // Runs that recovery cancelled were run again under a grant of entry-b.
    CHECK(eventually([&] {
        const auto rows = all.budget("briefs");
        return rows.grants.at(dead).closed && rows.granted() == rows.allocated;
    }));
    const auto rows = all.budget("briefs");
    CHECK(rows.grants.at(dead).granted > 0);
    CHECK(rows.grants.at(dead).granted <= all.consumed("briefs"));
}

// G4, G5: guards against an order that runs again, or is called "not run", after its router was
// killed between the run and the answer.
TEST(router_death, order_that_ran_at_a_killed_router_stays_unknown)
{
    fleet all;
    for (const auto* name : {"entry-a", "entry-b", "entry-c"}) {
        all.start_ready(name);
    }
    CHECK(all.wait_live("entry-b", 3));
    CHECK(all.wait_live("entry-c", 3));
    all.service_faults({{"silent_calls", 1}});
    const auto dead = all.incarnation("entry-a");
    const auto key = fetch_prefix(all.address("entry-a")) + "refill-1";
    const auto home = all.address("entry-a");
    std::thread first{[&] { place_order(home, key, "refill-1", 1); }};
    const bool has_run = eventually([&] { return all.ran("refill-1") == 1; });
    all.router("entry-a").kill();
    first.join();
    CHECK(has_run);

    const auto at_b = place_order(all.address("entry-b"), key, "refill-1", 2);
    STRCMP_EQUAL_TEXT("unknown", at_b.outcome.c_str(), at_b.http.body.c_str());
    all.replace_router("entry-a");
    int attempt = 3;
    for (const auto* name : {"entry-a", "entry-b", "entry-c"}) {
        const auto again = place_order(all.address(name), key, "refill-1", attempt++);
        STRCMP_EQUAL_TEXT("unknown", again.outcome.c_str(), again.http.body.c_str());
    }
    LONGS_EQUAL(1, all.ran("refill-1"));
}

// G1: guards against a recovery that never ends, which strands the unspent tokens of every budget
// that plain services serve: they keep no records that recovery could ask for.
TEST(router_death, recovery_ends_for_a_router_that_called_a_plain_service)
{
    fleet all;
    all.start_ready("entry-a");
    const auto dead = all.incarnation("entry-a");
    const auto key = fetch_prefix(all.address("entry-a")) + "refill-1";
    const auto reply = place_order(all.address("entry-a"), key, "refill-1", 1);
    CHECK_TEXT(reply.ok(), reply.http.body.c_str());
    all.replace_router("entry-a");
    CHECK(is_closed(all, dead));
    CHECK(all.budget("orders").grants.at(dead).closed);
}
