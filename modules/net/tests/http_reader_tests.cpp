#include "net/net.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace jujubevalve;

namespace
{
/// Notes what the reader reports.
struct recorder final : http_reader_listener {
    void on_head(http_head head) override { this->head = std::move(head); }
    void on_body(std::string_view bytes) override { body.append(bytes); }
    void on_message_end() override { ++messages; }

    http_head head;
    std::string body;
    int messages{0};
};
} // namespace

TEST_GROUP(http_reader)
{
    recorder seen;
    http_reader requests{http_reader::kind::requests, 1024, seen};
    http_reader responses{http_reader::kind::responses, 1024, seen};

    void expect_malformed(const std::string& text)
    {
        http_reader reader{http_reader::kind::requests, 1024, seen};
        reader.feed(text);
        CHECK(reader.state() == read_state::malformed);
    }
};

// Guards against a second request being taken for a part of the first.
TEST(http_reader, stops_behind_each_message)
{
    const std::string two =
        "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\n\r\n";
    const auto taken = requests.feed(two);
    CHECK(requests.state() == read_state::message_ended);
    STRCMP_EQUAL("xy", seen.body.c_str());
    STRCMP_EQUAL("/a", seen.head.target.c_str());
    requests.next();
    requests.feed(two.substr(taken));
    STRCMP_EQUAL("/b", seen.head.target.c_str());
    CHECK_EQUAL(2, seen.messages);
}

// Guards against requests whose end two programs would see at different places.
TEST(http_reader, rejects_ambiguous_framing)
{
    expect_malformed("POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n");
    expect_malformed("POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n");
    expect_malformed("POST /a HTTP/1.1\r\nContent-Length: 2x\r\n\r\n");
    expect_malformed("GET /a HTTP/1.1\r\nBad Name: 1\r\n\r\n");
    expect_malformed("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
}

// Guards against a head that arrives byte by byte and against folded state between bytes.
TEST(http_reader, takes_single_bytes)
{
    const std::string text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (const char c : text) {
        CHECK_EQUAL(1U, requests.feed({&c, 1}));
    }
    CHECK(requests.state() == read_state::message_ended);
    STRCMP_EQUAL("abc", seen.body.c_str());
    STRCMP_EQUAL("/a?b=c", seen.head.target.c_str());
}

TEST(http_reader, bounds_the_head)
{
    requests.feed("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    CHECK(requests.state() == read_state::head_too_large);
}

// Guards against a response that is cut off being taken for a complete one.
TEST(http_reader, ends_a_response_without_length_only_by_an_orderly_close)
{
    responses.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(responses.state() == read_state::reading);
    CHECK(seen.head.until_close);
    responses.feed_end();
    CHECK(responses.state() == read_state::message_ended);
}

TEST(http_reader, sees_a_truncated_response)
{
    responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    responses.feed_end();
    CHECK(responses.state() == read_state::malformed);
}

TEST(http_reader, passes_over_interim_responses)
{
    responses.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    CHECK_EQUAL(204, seen.head.status);
    CHECK(responses.state() == read_state::message_ended);
}

TEST_GROUP(http_head){};

// Guards against passing on fields that the caller declared to be for its connection only.
TEST(http_head, leaves_out_what_concerns_one_connection)
{
    const header_list fields{{{"Connection", "X-Local, close"},
                              {"x-local", "1"},
                              {"Keep-Alive", "timeout=3"},
                              {"Content-Length", "3"},
                              {"X-Kept", "2"}}};
    const auto kept = fields.end_to_end();
    CHECK_EQUAL(1U, kept.size());
    STRCMP_EQUAL("X-Kept", kept.front().name.c_str());
}
