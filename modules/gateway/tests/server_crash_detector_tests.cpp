#include "gateway/server_crash_detector.h"
#include "net/tcp_listener.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <unistd.h>
#include <vector>

using namespace jujubevalve;

TEST_GROUP(server_crash_detector)
{
    event_loop loop;
    std::vector<server_crash> crashes;
    server_crash_detector detector{loop,
                                   [this](const server_crash& crash) { crashes.push_back(crash); }};

    /// Returns an address of this machine that accepts connections, or that refuses them.
    std::string address_of(tcp_listener & listener, bool is_open)
    {
        CHECK(listener.open("127.0.0.1:0").has_value());
        const auto address = "127.0.0.1:" + std::to_string(listener.port());
        if (!is_open) {
            listener.close();
        }
        return address;
    }
    static server_entry entry(const std::string& address, std::int64_t incarnation = 1)
    {
        server_entry made;
        made.id = "server";
        made.address = address;
        made.incarnation = incarnation;
        return made;
    }
    /// Runs the loop once; it cannot be run again.
    void run(time_ms time)
    {
        loop.schedule(time, [this] { loop.stop(); });
        loop.run();
    }
};

// Guards against taking a broken connection for the end of the server, and against missing one.
TEST(server_crash_detector, a_server_has_crashed_if_its_address_refuses_connections)
{
    tcp_listener open{loop, [](int descriptor) { ::close(descriptor); }};
    tcp_listener closed{loop, [](int descriptor) { ::close(descriptor); }};
    auto sound = entry(address_of(open, true));
    sound.id = "sound";
    const auto crashed = entry(address_of(closed, false));
    for (const auto& server : {sound, crashed}) {
        detector.connection_lost(server, shared_prompt{1, 2});
        detector.connection_lost(server, std::nullopt);
    }
    run(time_ms{200});
    CHECK_EQUAL(1U, crashes.size());
    CHECK_EQUAL("server", crashes.front().server);
    CHECK_EQUAL(2, crashes.front().lost_requests);
    CHECK((crashes.front().suspects == std::vector<shared_prompt>{{1, 2}}));
}

// Incident 22: a server that had crashed came back under its id and crashed again within seconds;
// the second crash was not seen.
TEST(server_crash_detector, each_incarnation_of_a_server_may_crash)
{
    tcp_listener listener{loop, [](int descriptor) { ::close(descriptor); }};
    const auto address = address_of(listener, false);
    constexpr std::int64_t incarnations = 3;
    for (std::int64_t incarnation = 1; incarnation <= incarnations; ++incarnation) {
        loop.schedule(time_ms{100} * incarnation, [this, address, incarnation] {
            detector.connection_lost(entry(address, incarnation), shared_prompt{7});
        });
    }
    run(time_ms{500});
    CHECK_EQUAL(3U, crashes.size());
    CHECK_EQUAL(incarnations, crashes.back().incarnation);
    // A loss that is noticed late belongs to the crash that is known.
    detector.connection_lost(entry(address, 3), shared_prompt{8});
    CHECK_EQUAL(4U, crashes.size());
    CHECK((crashes.back().suspects == std::vector<shared_prompt>{{8}}));
}

// Guards against counting the planned end of a server as a crash.
TEST(server_crash_detector, a_server_that_leaves_has_not_crashed)
{
    tcp_listener listener{loop, [](int descriptor) { ::close(descriptor); }};
    auto server = entry(address_of(listener, false));
    server.leaving = true;
    detector.connection_lost(server, shared_prompt{1});
    run(time_ms{100});
    CHECK(crashes.empty());
}
