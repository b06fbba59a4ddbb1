#include "byte_server.h"
#include "http/http_client.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace jujubevalve;

namespace
{
constexpr std::size_t max_body = 64 * 1024;

http_reply ask(const std::function<void(const byte_server::sender&)>& answer,
               std::string* streamed = nullptr)
{
    byte_server server{answer};
    http_client client;
    http_call call{"POST", "http://" + server.address() + "/", {}, "x"};
    call.timeout = seconds(5);
    call.send_once = true;
    call.max_body_bytes = max_body;
    if (streamed != nullptr) {
        call.on_data = [streamed](std::string_view bytes) {
            streamed->append(bytes);
            return true;
        };
    }
    return client.perform(call);
}

http_reply ask(const std::string& answer, std::string* streamed = nullptr)
{
    return ask([&](const byte_server::sender& send) { send(answer); }, streamed);
}

// Sends a block again and again, until the client closes or far more than any limit is out.
http_reply ask_without_end(const std::string& begin, const std::string& repeated)
{
    constexpr std::size_t enough = 64 * 1024 * 1024;
    return ask([&](const byte_server::sender& send) {
        send(begin);
        for (std::size_t sent = 0; sent < enough && send(repeated); sent += repeated.size()) {
        }
    });
}
} // namespace

TEST_GROUP(http_client){};

// Guards against the begin of an answer taken for a whole one: curl reports success if the server
// closes inside the head.
TEST(http_client, an_answer_that_ends_early_is_lost_wherever_it_ends)
{
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nX-I: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    };
    for (const auto& answer : answers) {
        for (const bool streams : {false, true}) {
            // Behind the last chunk the final line feed carries nothing, and curl does not wait for
            // it.
            const auto needed = answer.ends_with("\n") ? answer.size() - 1 : answer.size();
            for (std::size_t length = 0; length < needed; ++length) {
                std::string streamed;
                const auto reply = ask(answer.substr(0, length), streams ? &streamed : nullptr);
                const auto label = "first " + std::to_string(length) + " bytes of: " + answer;
                CHECK_TEXT(reply.error == http_error::answer_lost, label.c_str());
                CHECK_EQUAL(0, reply.status);
            }
            std::string streamed;
            const auto whole = ask(answer, streams ? &streamed : nullptr);
            CHECK(whole.ok());
            CHECK_EQUAL(std::string{"hello"}, streams ? streamed : whole.body);
        }
    }
}

// A body that ends with its connection is complete only behind a complete head.
TEST(http_client, an_answer_that_ends_with_its_connection_needs_its_whole_head)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        CHECK(ask(head.substr(0, length)).error == http_error::answer_lost);
    }
    const auto reply = ask(head + "hello");
    CHECK(reply.ok());
    CHECK_EQUAL(std::string{"hello"}, reply.body);
}

// Guards against "not delivered" for a request that was sent: curl reports bytes that are no answer
// as an unsupported protocol.
TEST(http_client, bytes_that_are_no_answer_do_not_promise_that_nothing_was_sent)
{
    for (const std::string bytes : {"these bytes are no answer\r\n\r\n", "x", "\r\n\r\n",
                                    "HTTP/9.9 200 OK\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"}) {
        CHECK_TEXT(ask(bytes).error == http_error::answer_lost, bytes.c_str());
    }
}

// Guards against header fields of an interim response, or of a trailer, in the answer.
TEST(http_client, only_the_final_head_counts)
{
    const auto reply = ask("HTTP/1.1 103 Early Hints\r\nX-A: interim\r\n\r\n"
                           "HTTP/1.1 200 OK\r\nX-B: final\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "2\r\nok\r\n0\r\nX-B: trailer\r\nX-C: trailer\r\n\r\n");
    CHECK(reply.ok());
    CHECK_EQUAL(std::string{"final"}, reply.headers.at("x-b"));
    CHECK_EQUAL(0U, reply.headers.count("x-a") + reply.headers.count("x-c"));
}

// Guards against a process that keeps bytes without end until it has no memory left.
TEST(http_client, an_answer_without_end_is_given_up)
{
    const std::string block(16 * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string fields = "X-Field: " + std::string(1024, 'x') + "\r\n";
    CHECK(ask_without_end(chunked, "4000\r\n" + block + "\r\n").error ==
          http_error::answer_too_long);
    CHECK(ask_without_end("HTTP/1.1 200 OK\r\n\r\n", block).error == http_error::answer_too_long);
    CHECK(ask_without_end("HTTP/1.1 500 No\r\n\r\n", block).error == http_error::answer_too_long);
    CHECK(ask_without_end("HTTP/1.1 200 OK\r\n", fields).error == http_error::answer_too_long);
    CHECK(ask_without_end("", "HTTP/1.1 102 Processing\r\n\r\n").error ==
          http_error::answer_too_long);
    CHECK(ask_without_end(chunked + "0\r\n", fields).error == http_error::answer_too_long);
    // These are given up by curl itself.
    for (const std::string begin : {"HTTP/1.1 200 OK\r\nX-Field: ", "", "HTTP/1.1 200 "}) {
        CHECK(ask_without_end(begin, block).error.has_value());
    }
    CHECK(ask_without_end(chunked, block).error.has_value());
}

// The limit itself is allowed, and one byte more is not.
TEST(http_client, a_body_may_be_as_long_as_the_limit)
{
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    CHECK(ask(head + std::string(max_body, 'x')).ok());
    CHECK(ask(head + std::string(max_body + 1, 'x')).error == http_error::answer_too_long);
}
