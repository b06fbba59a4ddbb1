#include "standins/site/raw_server.h"
#include "standins/site/site_caller.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace jujubevalve;
using namespace jujubevalve::site;
using deployment = jujubevalve::site::site;

namespace
{
constexpr std::size_t row_bytes = 65536;

void wait(time_ms time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
}

std::string entry(const std::string& service, const std::string& address,
                  const std::string& further_fields = "")
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"a","version":"v1","max-concurrency":64,"state":"ready",)"
           R"("warmup-left-ms":0,"sequence":1,"born":1)" +
           further_fields + "}";
}
} // namespace

TEST_GROUP(odd_entries){};

// Report of another operator: one odd entry among those of the servers, and the processes that read
// the list ended again and again, or stopped following it.
TEST(odd_entries, one_among_the_servers_ends_no_process_and_hides_no_server)
{
    site_options options;
    options.gateways = 2;
    options.engines = 0;
    options.plain_servers = 1;
    deployment fleet{options};
    site_caller caller{fleet};
    std::atomic<int> misled{0};
    raw_server decoy{[&](const raw_connection& connection, const raw_request&) {
        ++misled; // no odd entry names a server to use
        connection.send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    }};
    const auto port = decoy.address().substr(decoy.address().find(':'));
    const std::string nested(row_bytes / 2, '[');
    const std::string closed = nested + std::string(row_bytes / 2 - 300, ']');
    std::string nested_objects;
    while (nested_objects.size() < row_bytes - 300) {
        nested_objects += R"({"a":)";
    }
    const std::vector<std::pair<std::string, std::string>> odd{
        {"deep", nested},
        {"deep-closed", closed},
        {"deep-objects", nested_objects},
        {"deep-field", entry("orders", decoy.address(), R"(,"sequence":)" + closed)},
        {"deep-service", R"({"service":)" + closed + "}"},
        {"large-slots", entry("orders", decoy.address(), R"(,"max-concurrency":1e999)")},
        {"large-born", entry("orders", decoy.address(), R"(,"born":1e999)")},
        {"long-born", entry("orders", decoy.address(), R"(,"born":123456789012345678901234567)")},
        {"negative-slots", entry("orders", decoy.address(), R"(,"max-concurrency":-5)")},
        {"port", entry("orders", "127.0.0.1:70000")},
        {"port-0", entry("orders", "127.0.0.1:0")},
        {"port-negative", entry("orders", "127.0.0.1:-1")},
        {"no-port", entry("orders", "127.0.0.1")},
        {"no-host", entry("orders", port)},
        {"any-host", entry("orders", "0.0.0.0" + port)},
        {"name", entry("orders", "localhost" + port)},
        {"i\r\nX-Key: smuggled", entry("orders", decoy.address())},
        {"i 1", entry("orders", decoy.address())},
        {"bytes", std::string{"\xff\xfe\x00\x01", 4}},
        {"text", "\"orders\""},
        {"number", "1e999"},
        {"null", "null"}};
    for (auto& gateway : fleet.gateways()) {
        CHECK(fleet.wait_ready(gateway));
    }
    auto& server = fleet.servers().front();
    for (const auto& [id, text] : odd) {
        fleet.store().rows().put("servers", id, text);
        // The entry is read as a change, and, by the process that starts, in the list.
        wait(time_ms{300});
        for (auto& gateway : fleet.gateways()) {
            CHECK_TEXT(!gateway.process->wait_ended(time_ms{0}).has_value(), id.c_str());
        }
        auto& restarted = fleet.gateways().back();
        restarted.process->kill();
        fleet.start(restarted);
        CHECK_TEXT(fleet.wait_ready(restarted), id.c_str());
        // The list is still followed: a server that leaves and comes back is noticed.
        fleet.withdraw(server);
        wait(time_ms{350});
        fleet.announce(server);
        wait(time_ms{350});
        for (auto& gateway : fleet.gateways()) {
            for (int i = 0; i < 3; ++i) {
                const auto done = caller.call(gateway.listen, site_call::order, 1);
                CHECK_TEXT(done.complete, (id + " " + std::to_string(done.status)).c_str());
            }
        }
        fleet.store().rows().put("servers", id, "");
    }
    CHECK_EQUAL(0, misled);
    caller.check_responses_against_runs();
    for (const auto& violation : caller.violations()) {
        FAIL(violation.c_str());
    }
}
