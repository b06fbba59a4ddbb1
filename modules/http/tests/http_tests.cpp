#include "http/http.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
http_response answer(const http_request& request)
{
    if (request.path == "/stream") {
        auto left = std::make_shared<int>(3);
        http_response response;
        response.stream = [left](std::string& bytes) {
            if ((*left)-- == 0) {
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
    http_server server{{"127.0.0.1:0", 16}, &answer};
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

TEST(http, streams_all_parts)
{
    echo_server echo;
    CHECK_EQUAL(std::string{"part;part;part;"}, echo.call("GET", "/stream", "").body);
}

// Guards against a cut stream that looks like a whole answer (G3).
TEST(http, a_cut_stream_is_an_error)
{
    echo_server echo;
    CHECK(echo.call("GET", "/cut", "").error == http_error::answer_lost);
}

// Guards against unbounded memory for a request body.
TEST(http, reports_a_body_over_the_limit)
{
    echo_server echo;
    CHECK_EQUAL(413, echo.call("POST", "/", std::string(17, 'x')).status);
}

// Guards against "not run" after curl has sent a request on a kept connection, lost the answer and
// found the server gone when it sent the request again (G4).
TEST(http, a_failure_after_a_kept_connection_is_never_not_delivered)
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

// Guards against "outcome unknown" where it is certain that nothing was sent (G4).
TEST(http, a_refused_connection_is_not_delivered)
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
