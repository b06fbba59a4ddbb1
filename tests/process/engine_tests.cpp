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
void check_answers(const open_chats& chats)
{
    for (const auto& caller : chats.callers()) {
        CHECK_FALSE_TEXT(caller->wrong(), caller->last_error().c_str());
    }
    LONGS_EQUAL(static_cast<int>(chats.callers().size()), chats.whole());
}
} // namespace

TEST_GROUP(connections)
{
    std::unique_ptr<fleet> all;
    tcp_relay relay;

    // Two routers; all their connections to engine 1 lead through the relay.
    void start()
    {
        all = std::make_unique<fleet>();
        auto& server = all->tables()["pools"][0]["servers"][0];
        relay.set_target(server["address"].get<std::string>());
        server["address"] = relay.address();
        const auto [code, output] = all->apply(1);
        LONGS_EQUAL_TEXT(0, code, output.c_str());
        for (const auto* name : {"entry-a", "entry-b"}) {
            all->start_ready(name);
        }
        CHECK(all->wait_live("entry-a", 2));
        CHECK(all->wait_live("entry-b", 2));
    }
};

// G2, G3: guards against a stream that hangs or is generated again when its connection to the
// engine goes silent while new ones work.
TEST(connections, stream_from_a_silent_engine_is_resumed)
{
    start();
    for (int engine = 1; engine <= 2; ++engine) {
        all->engine_faults(engine, {{"silent_connections", 2}, {"silent_after", 10}});
    }
    open_chats chats;
    chats.start("silent", {all->address("entry-a")}, 6, 60);
    chats.join();
    check_answers(chats);
    LONGS_EQUAL(6, all->engine_total("starts"));
    CHECK(all->engine_total("resumes") >= 2);
}

// G2, G3: as before, for a network that stops carrying the open connections.
TEST(connections, streams_survive_a_network_that_silences_open_connections)
{
    start();
    open_chats chats;
    chats.start("network", {all->address("entry-a")}, 8, 200);
    CHECK(chats.all_received(5));
    CHECK(all->engine_stats(1)["starts"].get<int>() > 0);
    relay.silence_open();
    chats.join();
    check_answers(chats);
    LONGS_EQUAL(8, all->engine_total("starts"));
    CHECK(all->engine_stats(1)["resumes"].get<int>() >= 1);
}

// G3: guards against a caller that gets text of another request, or twice the same, when the engine
// mixes up its answers.
TEST(connections, crossed_and_repeated_events_never_reach_a_caller)
{
    start();
    for (int engine = 1; engine <= 2; ++engine) {
        all->engine_faults(engine, {{"crossed_answers", 20}, {"repeated_events", 20}});
    }
    open_chats chats;
    chats.start("crossed", all->addresses({"entry-a", "entry-b"}), 8, 60);
    chats.join();
    check_answers(chats);
}

// G3: guards against an answer with a gap.
TEST(connections, skipped_events_leave_no_gap_in_an_answer)
{
    start();
    for (int engine = 1; engine <= 2; ++engine) {
        all->engine_faults(engine, {{"skipped_events", 3}});
    }
    open_chats chats;
    chats.start("skipped", all->addresses({"entry-a", "entry-b"}), 6, 60);
    chats.join();
    check_answers(chats);
}

// G2, G5: guards against a run that ends with its caller's connection, so that the retry would run
// it again.
TEST(connections, silent_caller_gets_its_order_and_its_answer_later)
{
    start();
    tcp_relay to_router{all->address("entry-a")};
    all->service_faults({{"delay_ms", 600}});
    const auto key = fetch_prefix(all->address("entry-a")) + "silent-caller";
    std::thread order{[&] { place_order(to_router.address(), key, "silent", 1, seconds(3)); }};
    const bool arrived = eventually([&] { return all->service_stats()["running"] == 1; });
    to_router.silence_open();
    order.join();
    CHECK(arrived);
    for (const auto* name : {"entry-a", "entry-b"}) {
        const auto again = place_order(all->address(name), key, "silent", 2);
        CHECK_TEXT(again.ok(), again.http.body.c_str());
    }
    LONGS_EQUAL(1, all->ran("silent"));

    chat_caller caller{"silent-chat", 200};
    to_router.set_mode(tcp_relay::mode::carry);
    std::thread chat{[&] { caller.attempt(to_router.address(), seconds(2)); }};
    const bool begun = eventually([&] { return caller.received() >= 5; });
    to_router.silence_open();
    chat.join();
    CHECK(begun);
    const bool caller_answered = caller.attempt(all->address("entry-a"));
    CHECK_TEXT(caller_answered, caller.last_error().c_str());
    CHECK_FALSE(caller.wrong());
    LONGS_EQUAL(1, all->engine_total("starts"));
}
