#include "net/net.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace jujubevalve;

namespace
{
/// A peer that answers each request it receives with the next of some prepared texts.
class scripted_peer final : private stream_listener
{
public:
    explicit scripted_peer(event_loop& loop)
        : loop_{loop}
        , listener_{loop, [this](int descriptor) {
                        stream_ = std::make_unique<tcp_stream>(loop_,
                                                               static_cast<stream_listener&>(*this),
                                                               descriptor, silence_limits{});
                    }}
    {
        CHECK(listener_.open("127.0.0.1:0").has_value());
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(listener_.port());
    }

    std::vector<std::string> answers;
    bool close_after_answer{false};
    bool reset_after_answer{false};
    int requests{0};

private:
    void on_received(std::string_view bytes) override
    {
        if (bytes.find("\r\n\r\n") == std::string_view::npos) {
            return;
        }
        const auto n = static_cast<std::size_t>(requests++);
        if (n < answers.size()) {
            stream_->write(answers[n]);
        }
        if (close_after_answer) {
            stream_->close();
        }
        if (reset_after_answer) {
            stream_->reset();
        }
    }
    void on_ended(stream_end /*how*/) override {}

    event_loop& loop_;
    tcp_listener listener_;
    std::unique_ptr<tcp_stream> stream_;
};

/// Accepts answers whose field `Id` is the wanted one.
struct asker final : exchange_listener {
    explicit asker(event_loop& loop)
        : loop{loop}
    {
    }
    bool on_response_head(const http_head& head) override
    {
        return head.headers.get("Id").empty() || head.headers.get("Id") == wanted;
    }
    void on_response_body(std::string_view bytes) override { body.append(bytes); }
    void on_response_end() override
    {
        ended = true;
        loop.stop();
    }
    void on_exchange_failed(exchange_failure why) override
    {
        failure = why;
        loop.stop();
    }

    event_loop& loop;
    std::string wanted{"1"};
    std::string body;
    bool ended{false};
    std::optional<exchange_failure> failure;
};

constexpr const char* request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
} // namespace

TEST_GROUP(http_exchange)
{
    event_loop loop;
    scripted_peer peer{loop};
    asker caller{loop};

    void ask(http_exchange & exchange)
    {
        exchange.send(request, false, caller);
        loop.schedule(seconds(5), [this] { loop.stop(); });
        loop.run();
    }
    /// Sends a request and gives it up after a moment. Returns whether that could be done.
    bool ask_and_stop(http_exchange & exchange)
    {
        bool stopped = false;
        loop.schedule(time_ms{50}, [&] { stopped = exchange.stop_sending(caller); });
        loop.schedule(time_ms{200}, [this] { loop.stop(); });
        ask(exchange);
        return stopped;
    }
};

// Guards against charging for a request that its server dropped before it began.
TEST(http_exchange, a_peer_that_closes_after_the_end_of_the_request_has_not_answered)
{
    http_exchange exchange{loop, peer.address(), {}};
    CHECK(ask_and_stop(exchange));
    CHECK(caller.failure == exchange_failure::no_response);
    CHECK(exchange.closed_in_order());
}

// Guards against taking a broken connection for a server's word that nothing has run.
TEST(http_exchange, a_reset_is_not_an_orderly_close)
{
    peer.reset_after_answer = true;
    http_exchange exchange{loop, peer.address(), {}};
    CHECK_FALSE(ask_and_stop(exchange));
    CHECK(caller.failure == exchange_failure::no_response);
    CHECK_FALSE(exchange.closed_in_order());
}

// Guards against taking a request whose answer has begun for one that has not run.
TEST(http_exchange, a_request_cannot_be_given_up_once_its_answer_has_begun)
{
    peer.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"};
    http_exchange exchange{loop, peer.address(), {}};
    CHECK_FALSE(ask_and_stop(exchange));
}

// Guards against a late second answer being given to the next request.
TEST(http_exchange, passes_over_answers_to_other_requests)
{
    peer.answers = {answer("0", "old") + answer("1", "mine")};
    http_exchange exchange{loop, peer.address(), {}};
    ask(exchange);
    CHECK(caller.ended);
    STRCMP_EQUAL("mine", caller.body.c_str());
    CHECK(exchange.is_reusable());
}

// Guards against keeping a connection on which bytes follow the answer.
TEST(http_exchange, gives_up_a_connection_with_bytes_behind_the_answer)
{
    peer.answers = {answer("1", "mine") + "garbage"};
    http_exchange exchange{loop, peer.address(), {}};
    ask(exchange);
    CHECK(caller.ended);
    CHECK_FALSE(exchange.is_reusable());
}

TEST(http_exchange, tells_an_answer_that_broke_off)
{
    peer.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"};
    peer.close_after_answer = true;
    http_exchange exchange{loop, peer.address(), {}};
    ask(exchange);
    CHECK(caller.failure == exchange_failure::broken_response);
}

TEST(http_exchange, tells_a_missing_answer)
{
    peer.close_after_answer = true;
    http_exchange exchange{loop, peer.address(), {}};
    ask(exchange);
    CHECK(caller.failure == exchange_failure::no_response);
}

// Guards against counting a request as sent that never left.
TEST(http_exchange, tells_a_refused_connection)
{
    http_exchange exchange{loop, "127.0.0.1:1", {}};
    ask(exchange);
    CHECK(caller.failure == exchange_failure::not_connected);
}

TEST(http_exchange, tells_bytes_that_are_no_answer)
{
    peer.answers = {"0123456789\r\n\r\n"};
    http_exchange exchange{loop, peer.address(), {}};
    ask(exchange);
    CHECK(caller.failure == exchange_failure::malformed);
}

TEST_GROUP(event_loop)
{
    event_loop loop;
};

TEST(event_loop, runs_timers_in_order_and_drops_cancelled_ones)
{
    std::string order;
    loop.schedule(time_ms{20}, [&] {
        order += 'b';
        loop.stop();
    });
    loop.schedule(time_ms{1}, [&] { order += 'a'; });
    const auto dropped = loop.schedule(time_ms{2}, [&] { order += 'x'; });
    loop.cancel(dropped);
    loop.defer([&] { order += '0'; });
    loop.run();
    STRCMP_EQUAL("0ab", order.c_str());
}
