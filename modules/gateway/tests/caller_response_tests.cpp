#include "gateway/caller_response.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace jujubevalve;

namespace
{
/// Records what it is told to send.
struct connection_fake final : caller_connection {
    void send(std::string_view bytes) override { sent.append(bytes); }
    bool has_left() const override { return false; }
    std::size_t unsent() const override { return backlog; }
    bool must_close() const override { return closes; }
    void set_ends_with_close() override { ends_with_close = true; }
    void finish(bool close) override
    {
        ++ends;
        closed = close;
    }
    void abort_response() override
    {
        ++ends;
        aborted = true;
    }

    std::string sent;
    std::size_t backlog{0};
    bool closes{false};
    bool ends_with_close{false};
    int ends{0};
    bool closed{false};
    bool aborted{false};
};

http_head request_head(const std::string& method, bool http_1_1)
{
    http_head head;
    head.method = method;
    head.http_1_1 = http_1_1;
    head.keep_alive = http_1_1;
    return head;
}

http_head server_head(int status)
{
    http_head head;
    head.status = status;
    return head;
}

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}
} // namespace

TEST_GROUP(caller_response)
{
    connection_fake connection;

    /// All that a call may do, in any state of the response.
    using operation = std::function<void(caller_response&)>;
    static const std::vector<operation>& operations()
    {
        static const std::vector<operation> all{
            [](caller_response& response) { response.send_whole(server_head(500), "failed"); },
            [](caller_response& response) { response.send_whole(server_head(200), "answer"); },
            [](caller_response& response) { response.send_error(502, "lost", "lost", {}); },
            [](caller_response& response) { response.send_error(503, "full", "full", {}); },
            [](caller_response& response) {
                response.add_event(server_head(200), "id: 1\n\n");
                CHECK(response.flush_events());
            },
            [](caller_response& response) { response.end_stream(server_head(200)); },
            [](caller_response& response) { response.break_off(); }};
        return all;
    }
};

// Guards against a second head, or any byte behind the end, whatever a call does and in whatever
// order: all sequences of up to four operations.
TEST(caller_response, has_one_head_and_one_end_in_any_order_of_operations)
{
    const auto choices = operations().size();
    for (const bool http_1_1 : {true, false}) {
        for (std::size_t sequence = 0; sequence < choices * choices * choices * choices;
             ++sequence) {
            connection_fake each;
            const auto request = request_head("POST", http_1_1);
            caller_response response{each, request};
            std::string at_end;
            for (std::size_t rest = sequence, step = 0; step < 4; ++step, rest /= choices) {
                const bool was_ended = each.ends > 0;
                operations()[rest % choices](response);
                CHECK_EQUAL(!each.sent.empty() || each.ends > 0, response.has_begun());
                if (!was_ended) {
                    at_end = each.sent;
                }
            }
            CHECK(each.ends <= 1);
            CHECK(count(each.sent, "HTTP/1.1 ") <= 1);
            CHECK_EQUAL(at_end, each.sent);
            // A stream is complete only if it was ended, and never after it was broken off.
            if (each.aborted) {
                CHECK_EQUAL(0U, count(each.sent, "\r\n0\r\n\r\n"));
                CHECK(http_1_1 || each.sent.empty() || each.ends_with_close);
            }
        }
    }
}

// Guards against an error in the middle of a stream, which reports success in the log.
TEST(caller_response, breaks_off_a_stream_that_cannot_go_on)
{
    const auto request = request_head("POST", true);
    caller_response response{connection, request};
    response.add_event(server_head(200), "id: 1\n\n");
    CHECK(response.flush_events());
    CHECK_EQUAL(0, response.send_whole(server_head(500), "failed"));
    CHECK(connection.aborted);
    CHECK_EQUAL(std::string::npos, connection.sent.find("500"));
}

// Guards against bytes of a body behind the head of a response to HEAD, which the caller would take
// for its next response.
TEST(caller_response, answers_head_without_a_body)
{
    const auto request = request_head("HEAD", true);
    {
        caller_response response{connection, request};
        auto head = server_head(200);
        head.headers = header_list{{{"Content-Length", "700"}}};
        CHECK_EQUAL(200, response.send_whole(head, ""));
        CHECK(connection.sent.find("Content-Length: 700\r\n") != std::string::npos);
        CHECK(connection.sent.ends_with("\r\n\r\n"));
    }
    {
        connection.sent.clear();
        caller_response response{connection, request};
        CHECK_EQUAL(503, response.send_error(503, "full", "full", time_ms{100}));
        CHECK(connection.sent.ends_with("\r\n\r\n"));
    }
    {
        connection.sent.clear();
        caller_response response{connection, request};
        CHECK_EQUAL(200, response.end_stream(server_head(200)));
        CHECK(connection.sent.ends_with("\r\n\r\n"));
        CHECK(!connection.sent.ends_with("0\r\n\r\n"));
    }
}

TEST(caller_response, closes_if_the_caller_asks_for_it)
{
    auto request = request_head("POST", true);
    request.keep_alive = false;
    caller_response response{connection, request};
    response.add_event(server_head(200), "id: 1\n\n");
    CHECK_EQUAL(200, response.end_stream(server_head(200)));
    CHECK(connection.closed);
    CHECK(connection.sent.find("Connection: close\r\n") != std::string::npos);
}

// A stream without chunks is complete when its connection closes, so it must not close before.
TEST(caller_response, marks_a_stream_that_ends_with_its_connection)
{
    const auto request = request_head("POST", false);
    caller_response response{connection, request};
    CHECK_FALSE(connection.ends_with_close);
    response.add_event(server_head(200), "id: 1\n\n");
    CHECK(connection.ends_with_close);
    CHECK_EQUAL(200, response.end_stream(server_head(200)));
    // The connection may still have bytes to send, and knows when it has not.
    CHECK(connection.ends_with_close);
    CHECK(connection.closed);
    CHECK_FALSE(connection.aborted);
    CHECK(connection.closed);
}

TEST(caller_response, reports_a_caller_that_does_not_keep_up)
{
    const auto request = request_head("POST", true);
    caller_response response{connection, request};
    connection.backlog = 1024 * 1024;
    response.add_event(server_head(200), "id: 1\n\n");
    CHECK_FALSE(response.flush_events());
}
