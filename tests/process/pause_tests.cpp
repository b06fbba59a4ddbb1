#include "process/caller.h"
#include "process/fleet.h"
#include "process/open_chats.h"

#include <csignal>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::process;

TEST_GROUP(paused_router)
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

// G1: guards against a grant that is given away while its holder is only paused, and against
// requests that do not end when it continues.
TEST(paused_router, continues_after_its_peers_suspected_it)
{
    open_chats chats;
    chats.start("paused", {all.address("entry-a")}, 4, 200);
    CHECK(chats.all_received(5));
    all.router("entry-a").send(SIGSTOP);
    CHECK(all.wait_live("entry-b", 1));
    // A silent holder is not a dead one: its row stays open and its grant stays allocated.
    CHECK(all.state_of(all.incarnation("entry-a")) == incarnation_state::active);
    CHECK_FALSE(all.budget("briefs").grants.at(all.incarnation("entry-a")).closed);
    // Its name cannot be taken over either, because the peer address is held by the paused process.
    child_process rival{"jujubevalve-router",
                        {"--instance=entry-a", "--failure_domain=domain-a", "--region=region-a",
                         "--platform=" + all.platform_address(), "--platform_credential=wrong",
                         "--fleet_secret=process-tests-fleet-secret",
                         "--peer_listen=" + all.peer_address("entry-a")}};
    LONGS_EQUAL(1, rival.wait_ended(generous).value_or(-1));
    all.router("entry-a").send(SIGCONT);
    chats.join();
    LONGS_EQUAL(4, chats.whole());
    for (const auto& caller : chats.callers()) {
        CHECK_FALSE_TEXT(caller->wrong(), caller->last_error().c_str());
    }
    CHECK(all.wait_live("entry-b", 2));
    CHECK(all.state_of(all.incarnation("entry-a")) == incarnation_state::active);
    const auto rows = all.budget("briefs");
    LONGLONGS_EQUAL(rows.allocated, rows.granted());
    CHECK(all.consumed("briefs") <= rows.allocated);
}
