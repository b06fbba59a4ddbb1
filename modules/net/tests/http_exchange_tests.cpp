#include "net/net.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace jujubevalve;

namespace
{
/// A server that sends the next prepared response for each received request.
class scripted_peer final : private stream_listener
{
public:
    explicit scripted_peer(event_loop& loop)
        : loop_{loop}
        , listener_{loop, [this](int descriptor) {
                        stream_ = std::make_unique<tcp_stream>(loop_,
                                                               static_cast<stream_listener&>(*this),
                                                               descriptor, liveness_limits{});
                    }}
    {
        CHECK(listener_.open("127.0.0.1:0").has_value());
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(listener_.port());
    }

    std::vector<std::string> responses;
    bool close_after_response{false};
    bool reset_after_response{false};
    int requests{0};

private:
    void on_received(std::string_view bytes) override
    {
        if (bytes.find("\r\n\r\n") == std::string_view::npos) {
            return;
        }
        const auto n = static_cast<std::size_t>(requests++);
        if (n < responses.size()) {
            stream_->write(responses[n]);
        }
        if (close_after_response) {
            stream_->close();
        }
        if (reset_after_response) {
            stream_->reset();
        }
    }
    void on_ended(stream_end /*how*/) override {}

    event_loop& loop_;
    tcp_listener listener_;
    std::unique_ptr<tcp_stream> stream_;
};

/// Accepts responses without an `Id` header or with the expected one, and records them.
struct response_recorder final : exchange_listener {
    explicit response_recorder(event_loop& loop)
        : loop{loop}
    {
    }
    bool on_response_head(const http_head& head) override
    {
        return head.headers.get("Id").empty() || head.headers.get("Id") == expected_id;
    }
    void on_response_body(std::string_view bytes) override { body.append(bytes); }
    void on_response_end() override
    {
        ended = true;
        loop.stop();
    }
    void on_exchange_failed(exchange_failure reason) override
    {
        failure = reason;
        loop.stop();
    }

    event_loop& loop;
    std::string expected_id{"1"};
    std::string body;
    bool ended{false};
    std::optional<exchange_failure> failure;
};

constexpr const char* request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string make_response(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
} // namespace

TEST_GROUP(http_exchange)
{
    event_loop loop;
    scripted_peer peer{loop};
    response_recorder listener{loop};

    void send_and_run(http_exchange & exchange)
    {
        exchange.send(request, false, listener);
        loop.schedule(seconds(5), [this] { loop.stop(); });
        loop.run();
    }
    /// Sends a request and calls stop_sending() after 50 ms. Returns its result.
    bool send_then_stop_sending(http_exchange & exchange)
    {
        bool stopped = false;
        loop.schedule(time_ms{50}, [&] { stopped = exchange.stop_sending(listener); });
        loop.schedule(time_ms{200}, [this] { loop.stop(); });
        send_and_run(exchange);
        return stopped;
    }
};

// A server that drops a request before it starts closes normally without a response. The caller
// must see this, or it charges for a request that has not run.
TEST(http_exchange, reports_no_response_when_peer_closes_after_sending_stopped)
{
    http_exchange exchange{loop, peer.address(), {}};
    CHECK(send_then_stop_sending(exchange));
    CHECK(listener.failure == exchange_failure::no_response);
    CHECK(exchange.closed_cleanly());
}

// A reset does not prove that the server has run nothing, unlike a normal close.
TEST(http_exchange, distinguishes_reset_from_clean_close)
{
    peer.reset_after_response = true;
    http_exchange exchange{loop, peer.address(), {}};
    CHECK_FALSE(send_then_stop_sending(exchange));
    CHECK(listener.failure == exchange_failure::no_response);
    CHECK_FALSE(exchange.closed_cleanly());
}

// Once the response has begun, the request must not be reported as not run.
TEST(http_exchange, refuses_to_stop_sending_after_response_has_begun)
{
    peer.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"};
    http_exchange exchange{loop, peer.address(), {}};
    CHECK_FALSE(send_then_stop_sending(exchange));
}

// A late response to an earlier request must not be passed to the next one.
TEST(http_exchange, skips_responses_to_other_requests)
{
    peer.responses = {make_response("0", "old") + make_response("1", "mine")};
    http_exchange exchange{loop, peer.address(), {}};
    send_and_run(exchange);
    CHECK(listener.ended);
    STRCMP_EQUAL("mine", listener.body.c_str());
    CHECK(exchange.is_reusable());
}

// Unexpected bytes after the response would be parsed as the response to the next request.
TEST(http_exchange, does_not_reuse_connection_with_bytes_after_response)
{
    peer.responses = {make_response("1", "mine") + "garbage"};
    http_exchange exchange{loop, peer.address(), {}};
    send_and_run(exchange);
    CHECK(listener.ended);
    CHECK_FALSE(exchange.is_reusable());
}

// A server in trouble may send bytes that are no response until the caller closes.
TEST(http_exchange, gives_up_on_a_head_without_end)
{
    const std::string late_response = make_response("0", "a late response to an earlier request");
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> endless{
        {"", "x"},
        {"HTTP/1.1 200 ", "OK"},
        {"HTTP/1.1 200 OK\r\nName: ", "value"},
        {"HTTP/1.1 200 OK\r\nName:", " "},
        {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
        {"", "HTTP/1.1 100 \r\n\r\n"},
        {"", late_response},
        {chunked, "0"},
        {chunked + "5;", "extension"},
        {chunked + "0\r\n", "Trailer: value\r\n"},
    };
    constexpr std::size_t bytes = 4 * 1024 * 1024;
    for (const auto& [begin, repeated] : endless) {
        event_loop own_loop; // a stopped loop cannot run again
        scripted_peer endless_peer{own_loop};
        endless_peer.responses = {begin};
        while (endless_peer.responses[0].size() < bytes) {
            endless_peer.responses[0] += repeated;
        }
        response_recorder recorder{own_loop};
        http_exchange exchange{own_loop, endless_peer.address(), {}};
        exchange.send(request, false, recorder);
        own_loop.schedule(seconds(5), [&own_loop] { own_loop.stop(); });
        own_loop.run();
        CHECK_TEXT(recorder.failure.has_value(), (begin + repeated).c_str());
        CHECK_FALSE(exchange.is_reusable());
    }
}

TEST(http_exchange, reports_truncated_response)
{
    peer.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"};
    peer.close_after_response = true;
    http_exchange exchange{loop, peer.address(), {}};
    send_and_run(exchange);
    CHECK(listener.failure == exchange_failure::broken_response);
}

TEST(http_exchange, reports_missing_response)
{
    peer.close_after_response = true;
    http_exchange exchange{loop, peer.address(), {}};
    send_and_run(exchange);
    CHECK(listener.failure == exchange_failure::no_response);
}

// A request that could not be sent must not be reported as sent.
TEST(http_exchange, reports_refused_connection)
{
    http_exchange exchange{loop, "127.0.0.1:1", {}};
    send_and_run(exchange);
    CHECK(listener.failure == exchange_failure::not_connected);
}

TEST(http_exchange, reports_malformed_response)
{
    peer.responses = {"0123456789\r\n\r\n"};
    http_exchange exchange{loop, peer.address(), {}};
    send_and_run(exchange);
    CHECK(listener.failure == exchange_failure::malformed);
}

TEST_GROUP(event_loop)
{
    event_loop loop;
};

TEST(event_loop, runs_timers_in_order_and_skips_cancelled_timers)
{
    std::string order;
    loop.schedule(time_ms{20}, [&] {
        order += 'b';
        loop.stop();
    });
    loop.schedule(time_ms{1}, [&] { order += 'a'; });
    const auto cancelled = loop.schedule(time_ms{2}, [&] { order += 'x'; });
    loop.cancel(cancelled);
    loop.defer([&] { order += '0'; });
    loop.run();
    STRCMP_EQUAL("0ab", order.c_str());
}
