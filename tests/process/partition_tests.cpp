#include "process/caller.h"
#include "process/fleet.h"
#include "process/open_chats.h"
#include "standins/tcp_relay.h"

#include <csignal>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::process;

namespace
{
constexpr int answer_tokens = 20;
} // namespace

// Two routers. Connections between them, and those of entry-b to the platform, lead through
// relays.
TEST_GROUP(partition)
{
    std::unique_ptr<fleet> all;
    tcp_relay to_a;
    tcp_relay to_b;
    tcp_relay to_platform;

    void start()
    {
        all = std::make_unique<fleet>(fleet_options{});
        all->seeds = {to_a.address(), to_b.address()};
        all->start_router("entry-a",
                          {"--peer_advertise=" + to_a.address(), "--request_timeout_ms=5000"});
        to_a.set_target(all->peer_address("entry-a"));
        to_platform.set_target(all->platform_address());
        all->platform_for_routers = to_platform.address();
        all->seeds = {to_a.address(), to_b.address()};
        all->start_router("entry-b",
                          {"--peer_advertise=" + to_b.address(), "--request_timeout_ms=5000"});
        to_b.set_target(all->peer_address("entry-b"));
        CHECK(all->wait_ready("entry-a"));
        CHECK(all->wait_ready("entry-b"));
        CHECK(all->wait_live("entry-a", 2));
        CHECK(all->wait_live("entry-b", 2));
    }

    static void part(tcp_relay & relay)
    {
        relay.set_mode(tcp_relay::mode::silent);
        relay.silence_open();
    }

    static void heal(tcp_relay & relay)
    {
        relay.set_mode(tcp_relay::mode::carry);
    }
};

// G1 and false refusals: guards against a router without grant that refuses although a peer could
// give tokens, and against transferred tokens that exist twice or are lost.
TEST(partition, peer_lends_tokens_to_a_router_without_platform)
{
    start();
    chat_caller holder{"holder", answer_tokens};
    const bool holder_answered = holder.run({all->address("entry-a")});
    CHECK_TEXT(holder_answered, holder.last_error().c_str());
    part(to_platform);
    chat_caller borrower{"borrower", answer_tokens};
    const bool borrower_answered = borrower.run({all->address("entry-b")});
    CHECK_TEXT(borrower_answered, borrower.last_error().c_str());
    CHECK(all->metrics("entry-b")["transfers_received"] >= 1);
    heal(to_platform);
    const auto a = all->incarnation("entry-a");
    const auto b = all->incarnation("entry-b");
    CHECK(eventually([&] {
        const auto rows = all->budget("briefs");
        const auto sent = rows.grants.find(a);
        const auto received = rows.grants.find(b);
        return sent != rows.grants.end() && received != rows.grants.end() &&
               sum_of(sent->second.sent) > 0 &&
               sum_of(sent->second.sent) == sum_of(received->second.received);
    }));
    for (const auto* name : {"entry-a", "entry-b"}) {
        all->router(name).send(SIGTERM);
        LONGS_EQUAL(0, all->router(name).wait_ended(generous).value_or(-1));
    }
    const auto rows = all->budget("briefs");
    LONGLONGS_EQUAL(rows.allocated, rows.granted());
    LONGLONGS_EQUAL(all->consumed("briefs"), rows.allocated);
}

// G4, G5: guards against an order that runs at two instances, or is called "not run" though it may
// run, when its key's home does not answer.
TEST(partition, order_for_a_silent_home_runs_there_or_stays_unknown)
{
    start();
    const auto key = fetch_prefix(all->address("entry-a")) + "parted";
    part(to_a);
    const auto parted = place_order(all->address("entry-b"), key, "parted", 2);
    STRCMP_EQUAL_TEXT("unknown", parted.outcome.c_str(), parted.http.body.c_str());
    const auto home = place_order(all->address("entry-a"), key, "parted", 3);
    CHECK_TEXT(home.ok(), home.http.body.c_str());
    heal(to_a);
    CHECK(eventually([&] {
        const auto again = place_order(all->address("entry-b"), key, "parted", 4);
        return again.ok() && again.http.body == home.http.body;
    }));
    LONGS_EQUAL(1, all->ran("parted"));
}
