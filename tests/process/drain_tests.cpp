#include "process/caller.h"
#include "process/fleet.h"
#include "process/open_chats.h"

#include <csignal>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::process;

TEST_GROUP(drain)
{
    fleet all;

    void setup() override
    {
        for (const auto* name : {"entry-a", "entry-b"}) {
            all.start_ready(name);
        }
        CHECK(all.wait_live("entry-a", 2));
        CHECK(all.wait_live("entry-b", 2));
    }
};

// G7, G1: guards against a shutdown that cuts a stream, exits before the last one has ended, or
// leaves tokens behind.
TEST(drain, sigterm_cuts_no_stream_and_returns_the_grants)
{
    open_chats chats;
    chats.start("drain", {all.address("entry-a")}, 6, 300);
    CHECK(chats.all_received(5));
    all.router("entry-a").send(SIGTERM);
    chats.join();
    LONGS_EQUAL(6, chats.whole());
    for (const auto& caller : chats.callers()) {
        CHECK_FALSE_TEXT(caller->wrong(), caller->last_error().c_str());
        LONGS_EQUAL_TEXT(1, caller->attempts(), caller->last_error().c_str());
    }
    LONGS_EQUAL(0, all.router("entry-a").wait_ended(generous).value_or(-1));
    const auto left = all.incarnation("entry-a");
    CHECK(all.state_of(left) == incarnation_state::drained);
    const auto rows = all.budget("briefs");
    CHECK(rows.grants.at(left).closed);
    LONGLONGS_EQUAL(all.consumed("briefs"), rows.grants.at(left).granted);
    LONGLONGS_EQUAL(rows.allocated, rows.granted());
}

// G4, G5: guards against an untrue outcome of keys of a drained instance: one it sent and one it
// never saw.
TEST(drain, keys_of_a_drained_instance_are_answered_from_its_records)
{
    const auto prefix = fetch_prefix(all.address("entry-a"));
    const auto sent = place_order(all.address("entry-a"), prefix + "sent", "sent", 1);
    CHECK_TEXT(sent.ok(), sent.http.body.c_str());
    all.router("entry-a").send(SIGTERM);
    LONGS_EQUAL(0, all.router("entry-a").wait_ended(generous).value_or(-1));
    const auto never = place_order(all.address("entry-b"), prefix + "never", "never", 2);
    const bool told = eventually([&] {
        // Until entry-b has read the row of the drained instance it can only say "unknown".
        const auto reply = place_order(all.address("entry-b"), prefix + "never", "never", 2);
        return reply.outcome == "not_run";
    });
    CHECK_TEXT(told, never.http.body.c_str());
    const auto again = place_order(all.address("entry-b"), prefix + "sent", "sent", 2);
    STRCMP_EQUAL_TEXT("unknown", again.outcome.c_str(), again.http.body.c_str());
    LONGS_EQUAL(1, all.ran("sent"));
    LONGS_EQUAL(0, all.ran("never"));
}
