#include "http/http.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <chrono>
#include <thread>

using namespace jujubevalve;

namespace
{
http_response handle_request(const http_request& request)
{
    if (request.path == "/stream") {
        auto remaining = std::make_shared<int>(3);
        http_response response;
        response.stream = [remaining](std::string& bytes) {
            if ((*remaining)-- == 0) {
                return stream_step::end;
            }
            bytes = "part;";
            return stream_step::data;
        };
        return response;
    }
    if (request.path == "/cut") {
        http_response response;
        response.stream = [](std::string&) { return stream_step::cut; };
        return response;
    }
    return {request.body_too_large ? 413 : 200, {}, request.method + request.body, {}, {}};
}

struct echo_server {
    http_server server{{"127.0.0.1:0", 16}, &handle_request};
    http_client client;

    http_reply call(const std::string& method, const std::string& path, const std::string& body)
    {
        return client.perform({method, "http://" + server.address() + path, {}, body});
    }
};
} // namespace

TEST_GROUP(http){};

TEST(http, passes_method_and_body)
{
    echo_server echo;
    const auto reply = echo.call("POST", "/", "hello");
    CHECK(reply.ok());
    CHECK_EQUAL(std::string{"POSThello"}, reply.body);
}

TEST(http, streams_all_blocks)
{
    echo_server echo;
    CHECK_EQUAL(std::string{"part;part;part;"}, echo.call("GET", "/stream", "").body);
}

// An aborted stream must not look like a complete response to the client.
TEST(http, aborted_stream_is_an_error)
{
    echo_server echo;
    CHECK(echo.call("GET", "/cut", "").error == http_error::answer_lost);
}

// Without the limit, a request body could use unbounded memory.
TEST(http, reports_body_over_the_limit)
{
    echo_server echo;
    CHECK_EQUAL(413, echo.call("POST", "/", std::string(17, 'x')).status);
}

// curl repeats a request when a reused connection closes without a response. If the server then
// refuses the second connection, the first attempt may still have been executed, so the error must
// not claim that nothing was sent.
TEST(http, failure_on_reused_connection_is_never_not_delivered)
{
    auto echo = std::make_unique<echo_server>();
    http_client client;
    const auto url = "http://" + echo->server.address() + "/";
    CHECK(client.perform({"GET", url}).ok());
    echo.reset();
    CHECK(client.perform({"POST", url, {}, "x"}).error == http_error::answer_lost);
    http_call once{"POST", url, {}, "x"};
    once.send_once = true;
    CHECK(client.perform(once).error == http_error::not_delivered);
}

// A refused new connection proves that nothing was sent; the outcome must not be unknown.
TEST(http, refused_connection_is_not_delivered)
{
    std::string address;
    {
        const echo_server echo;
        address = echo.server.address();
    }
    http_client client;
    const auto reply = client.perform({"GET", "http://" + address + "/"});
    CHECK(reply.error == http_error::not_delivered);
}

// Guards against a stop that closes connections while their responses wait for slow callers: a
// response counts as open until it has been sent.
TEST(http, a_response_is_closed_when_it_was_sent)
{
    constexpr std::size_t body_bytes = 32 * 1024 * 1024; // beyond the buffers of the kernel
    std::atomic<bool> is_closed{false};
    http_server server{{"127.0.0.1:0", 16}, [&](const http_request&) {
                           http_response response{200, {}, std::string(body_bytes, 'x'), {}, {}};
                           response.on_closed = [&] { is_closed = true; };
                           return response;
                       }};
    std::atomic<bool> may_read{false};
    std::size_t received = 0;
    http_call call{"GET", "http://" + server.address() + "/"};
    call.timeout = seconds(10);
    call.on_data = [&](std::string_view bytes) {
        while (!may_read) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        received += bytes.size();
        return true;
    };
    std::thread caller{[&] { CHECK(http_client{}.perform(call).ok()); }};
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    CHECK_FALSE(is_closed);
    may_read = true;
    caller.join();
    CHECK_EQUAL(body_bytes, received);
    server.stop();
    CHECK(is_closed);
}
