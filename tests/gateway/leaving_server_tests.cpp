#include "standins/site/raw_server.h"
#include "standins/site/site_caller.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

using namespace jujubevalve;
using namespace jujubevalve::site;
using deployment = jujubevalve::site::site;

namespace
{
void wait(time_ms time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
}
} // namespace

/// One gateway before servers that say in their answers that they leave.
TEST_GROUP(leaving_by_answer)
{
    std::unique_ptr<deployment> fleet;
    std::unique_ptr<site_caller> caller;

    void start_fleet(int engines, int plain_servers)
    {
        site_options options;
        options.gateways = 1;
        options.engines = engines;
        options.plain_servers = plain_servers;
        fleet = std::make_unique<deployment>(options);
        caller = std::make_unique<site_caller>(*fleet);
        CHECK(fleet->wait_ready(fleet->gateways()[0]));
    }
    void teardown() override
    {
        caller->check_responses_against_runs();
        for (const auto& violation : caller->violations()) {
            FAIL(violation.c_str());
        }
        caller.reset();
        fleet.reset();
    }
    int status_of(site_call kind)
    {
        return caller->call(fleet->gateways()[0].listen, kind, 1).status;
    }
    /// Sends requests until an answer has said that its server leaves.
    void call_until_announced(site_call kind)
    {
        const auto before = fleet->leaving().announcements();
        for (int i = 0; i < 200 && fleet->leaving().announcements() == before; ++i) {
            CHECK_EQUAL(200, status_of(kind));
        }
        CHECK_EQUAL(before + 1, fleet->leaving().announcements());
    }
    /// Returns how many of some requests reach a server.
    int reaching(const site_server& server, site_call kind)
    {
        constexpr int requests = 30;
        const auto before = server.server->requests();
        for (int i = 0; i < requests; ++i) {
            CHECK_EQUAL(200, status_of(kind));
        }
        return server.server->requests() - before;
    }
};

// Review case 9: a server says in its answers that it leaves while the store is down, so that its
// registration cannot be read. It got requests until it ended, and answers were lost.
TEST(leaving_by_answer, a_server_gets_no_more_requests_while_the_store_is_down)
{
    start_fleet(0, 2);
    fleet->store().refuse_with = 503;
    auto& leaving = fleet->servers().front();
    leaving.server->is_leaving = true;
    call_until_announced(site_call::stock);
    CHECK_EQUAL(0, reaching(leaving, site_call::stock));
    CHECK_EQUAL(0, reaching(leaving, site_call::order));
    fleet->store().refuse_with = 0;
    wait(time_ms{700});
    CHECK_EQUAL(0, reaching(leaving, site_call::order));
}

// Guards against reading the word of whole answers only, and not that of streams.
TEST(leaving_by_answer, an_engine_that_says_so_gets_no_more_streams)
{
    start_fleet(2, 0);
    auto& leaving = fleet->servers().front();
    leaving.server->is_leaving = true;
    call_until_announced(site_call::chat);
    CHECK_EQUAL(0, reaching(leaving, site_call::chat));
    CHECK_EQUAL(0, reaching(leaving, site_call::note));
}

// Guards against sending requests to it again because its registration is renewed as ready, and
// against leaving out the server that starts in its place.
TEST(leaving_by_answer, only_a_new_start_gets_requests_again)
{
    start_fleet(0, 2);
    auto& leaving = fleet->servers().front();
    leaving.server->is_leaving = true;
    call_until_announced(site_call::stock);
    fleet->announce(leaving);
    wait(time_ms{500});
    CHECK_EQUAL(0, reaching(leaving, site_call::stock));
    fleet->replace(leaving);
    wait(time_ms{500});
    CHECK(reaching(leaving, site_call::stock) > 0);
}

// Guards against callers that wait for a service whose servers all leave.
TEST(leaving_by_answer, requests_are_refused_when_all_servers_leave)
{
    start_fleet(0, 2);
    for (auto& server : fleet->servers()) {
        server.server->is_leaving = true;
        call_until_announced(site_call::stock);
    }
    constexpr int requests = 10;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < requests; ++i) {
        CHECK_EQUAL(503, status_of(site_call::order));
    }
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds{1});
}

// Guards against leaving out a server because another one, which still answers at its address, says
// that it leaves.
TEST(leaving_by_answer, a_misdirected_answer_speaks_for_another_server)
{
    start_fleet(0, 0);
    std::atomic<bool> is_other{true};
    raw_server server{[&](const raw_connection& connection, const raw_request& request) {
        const auto id = "X-Request-Id: " + request.id + "\r\n";
        if (is_other) {
            connection.send("HTTP/1.1 421 Misdirected Request\r\n" + id +
                            "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        fleet->book().began(request.id, request.account, 0);
        const auto body = plain_body(request.id);
        connection.send("HTTP/1.1 200 OK\r\n" + id +
                        "X-Server-Signature: " + signature_of(request.id) +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }};
    const nlohmann::json entry{{"service", "orders"},
                               {"address", server.address()},
                               {"zone", "a"},
                               {"version", "v1"},
                               {"max-concurrency", 6},
                               {"state", "ready"},
                               {"warmup-left-ms", 0},
                               {"sequence", 1},
                               {"born", 1}};
    fleet->store().rows().put("servers", "raw", entry.dump());
    wait(time_ms{500});
    CHECK_EQUAL(503, status_of(site_call::order));
    is_other = false;
    CHECK_EQUAL(200, status_of(site_call::order));
}
