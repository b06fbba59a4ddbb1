#include "backend/backend_client.h"
#include "http/tests/byte_server.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace jujubevalve;

namespace
{
constexpr std::size_t mebibyte = 1024 * 1024;

// Peak of the resident memory since the last reset.
std::size_t peak_memory_bytes()
{
    std::ifstream status{"/proc/self/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoull(line.substr(line.find_first_of("0123456789"))) * 1024;
        }
    }
    return 0;
}

void reset_peak_memory()
{
    std::ofstream{"/proc/self/clear_refs"} << "5";
}
} // namespace

TEST_GROUP(endless_answers)
{
    counters counts;
    backend_client client{{}, counts};

    call_result call(const std::string& address)
    {
        return client.call(address, {"note", "key", "1", "body"});
    }
};

// Guards against a process that runs out of memory, and takes other callers' requests with it,
// because servers send bodies without end.
TEST(endless_answers, of_fifty_servers_take_limited_memory_and_no_other_answer)
{
    constexpr int faulty_servers = 50;
    // What the answers may hold, twice, as a growing string is copied; and 1 MiB for each thread.
    constexpr std::size_t allowed = (2 * 64 + faulty_servers) * mebibyte;
    const std::string block(16 * 1024, 'x');
    std::vector<std::unique_ptr<byte_server>> servers;
    for (int i = 0; i < faulty_servers; ++i) {
        servers.push_back(std::make_unique<byte_server>([&](const byte_server::sender& send) {
            send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (send("4000\r\n" + block + "\r\n")) {
            }
        }));
    }
    byte_server sound{[](const byte_server::sender& send) {
        send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    }};
    reset_peak_memory();
    const auto before = peak_memory_bytes();
    std::atomic<int> lost{0};
    std::vector<std::thread> callers;
    for (const auto& server : servers) {
        callers.emplace_back([&, address = server->address()] {
            lost += call(address).end == backend_outcome::lost ? 1 : 0;
        });
    }
    int answered = 0;
    constexpr int sound_calls = 50;
    for (int i = 0; i < sound_calls; ++i) {
        answered += call(sound.address()).body == "hello" ? 1 : 0;
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK_EQUAL(sound_calls, answered);
    CHECK_EQUAL(faulty_servers, lost);
    const auto taken = peak_memory_bytes() - before;
    CHECK_TEXT(taken < allowed, ("peak: " + std::to_string(taken / mebibyte) + " MiB").c_str());
}

// Guards against the same with a load report, a cancel and an error in place of a stream.
TEST(endless_answers, to_control_requests_are_given_up)
{
    const std::string block(16 * 1024, 'x');
    for (const std::string status : {"200 OK", "500 Internal Server Error"}) {
        byte_server server{[&](const byte_server::sender& send) {
            send("HTTP/1.1 " + status + "\r\n\r\n");
            while (send(block)) {
            }
        }};
        reset_peak_memory();
        const auto before = peak_memory_bytes();
        CHECK_FALSE(client.load(server.address()));
        CHECK_FALSE(client.cancel(server.address(), "key"));
        engine_request request;
        request.key = "key";
        const auto ended =
            client.run(server.address(), request, [](const engine_event&) { return true; });
        CHECK(ended.end != backend_outcome::ended);
        CHECK(peak_memory_bytes() - before < 16 * mebibyte);
    }
}
