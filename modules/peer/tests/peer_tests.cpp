#include "core/clock.h"
#include "peer/frame_codec.h"
#include "peer/message_codec.h"
#include "peer/peer.h"
#include "tcp_relay.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>

using namespace jujubevalve;

namespace
{
constexpr time_ms call_timeout = seconds(5);

peer_options make_options(std::int64_t term = 1, std::string secret = "fleet secret")
{
    peer_options options;
    options.secret = std::move(secret);
    options.term = term;
    options.incarnation = "test-0000000000000001";
    options.max_frame_bytes = 100'000;
    return options;
}

wire::forward_request make_forward_request(const std::string& body)
{
    wire::forward_request request;
    request.account = "parish";
    request.body = body;
    return request;
}

// Implements the protocol directly, so that a test can send frames that peer_client never sends.
class raw_peer
{
public:
    explicit raw_peer(const std::string& address)
    {
        ACE_SOCK_Connector{}.connect(stream_, ACE_INET_Addr{address.c_str()});
        wire::hello hello;
        hello.protocol = 1;
        hello.term = 1;
        send(*codec.seal(encode(hello)));
        receive();
    }
    ~raw_peer() { stream_.close(); }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    void send(std::string_view bytes) { stream_.send_n(bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    // Returns the next payload, or an empty string on a timeout or if the server closed.
    std::string receive()
    {
        for (;;) {
            std::array<char, 4096> bytes{};
            ACE_Time_Value wait{5};
            const auto count = stream_.recv(bytes.data(), bytes.size(), &wait);
            if (count <= 0) {
                return {};
            }
            codec.feed({bytes.data(), static_cast<std::size_t>(count)});
            const auto frame = codec.open();
            if (frame && frame->has_value()) {
                return **frame;
            }
        }
    }

    frame_codec codec{"fleet secret", frame_side::client, 100'000};

private:
    ACE_SOCK_Stream stream_;
};
} // namespace

TEST_GROUP(peer)
{
    counters served;
    counters called;
    std::atomic<int> gossips{0};
    std::atomic<bool> blocking{false};
    peer_handler handler;
    std::unique_ptr<peer_server> server;

    void setup() override
    {
        handler.gossip = [this](const wire::gossip& request, const peer_caller&) {
            ++gossips;
            wire::gossip answer;
            answer.config_version = request.config_version + 1;
            return answer;
        };
        handler.forward = [this](const wire::forward_request& request, const peer_caller& caller) {
            while (blocking) {
                std::this_thread::sleep_for(std::chrono::milliseconds{5});
            }
            wire::forward_reply reply;
            reply.body = request.body + " from " + caller.incarnation;
            return reply;
        };
        server = std::make_unique<peer_server>(make_options(), handler, served);
    }
    void teardown() override
    {
        blocking = false;
        server.reset();
    }
    bool gossip_works(peer_client & client, const std::string& address,
                      time_ms timeout = call_timeout)
    {
        wire::gossip request;
        request.config_version = 7;
        const auto answer = client.call(address, request, timeout);
        return answer && answer->config_version == 8;
    }
};

// Guards against answers reaching the wrong call when many calls share a connection.
TEST(peer, concurrent_calls_get_their_own_answers)
{
    peer_client client{make_options(), called};
    std::atomic<int> correct{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 50; ++i) {
                const auto body = std::to_string(t * 1000 + i);
                const auto answer =
                    client.call(server->address(), make_forward_request(body), call_timeout);
                correct += answer && answer->body == body + " from test-0000000000000001" ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK_EQUAL(400, correct.load());
    CHECK_EQUAL(1, called.at("peer_connections_opened").load());
    CHECK_EQUAL(called.at("peer_bytes_sent").load(), served.at("peer_bytes_received").load());
    CHECK_EQUAL(called.at("peer_control_bytes_sent").load(),
                served.at("peer_control_bytes_received").load());
    CHECK(called.at("peer_control_bytes_sent").load() < 100); // only the hello
}

// Guards against new calls waiting on a connection that has gone silent permanently.
TEST(peer, a_silent_connection_is_replaced)
{
    tcp_relay relay{server->address()};
    peer_client client{make_options(), called};
    CHECK(gossip_works(client, relay.address()));
    relay.silence_open_connections();
    wire::gossip request;
    const auto lost = client.call(relay.address(), request, time_ms{200});
    CHECK(lost.delivery == peer_delivery::answer_lost);
    CHECK(lost.error.code == result_code::peer_unreachable);
    CHECK(gossip_works(client, relay.address()));
    CHECK_EQUAL(2, called.at("peer_connections_opened").load());
}

// Guards against losing a call because another one on its connection was slow.
TEST(peer, a_timeout_does_not_end_the_other_calls_of_its_connection)
{
    peer_client client{make_options(), called};
    blocking = true;
    std::atomic<bool> answered{false};
    std::thread other{[&] {
        answered =
            bool{client.call(server->address(), make_forward_request("other"), call_timeout)};
    }};
    CHECK(client.call(server->address(), make_forward_request("slow"), time_ms{200}).delivery ==
          peer_delivery::answer_lost);
    blocking = false;
    other.join();
    CHECK(answered.load());
}

// Guards against forwarded calls occupying all threads, so that the instance appears dead.
TEST(peer, blocked_calls_do_not_delay_gossip)
{
    peer_client client{make_options(), called};
    blocking = true;
    std::vector<std::thread> threads;
    for (int i = 0; i < 10; ++i) {
        threads.emplace_back([&] {
            static_cast<void>(
                client.call(server->address(), make_forward_request("x"), call_timeout));
        });
    }
    CHECK(gossip_works(client, server->address(), seconds(1)));
    blocking = false;
    for (auto& thread : threads) {
        thread.join();
    }
}

// Guards against accepting messages from an instance outside the fleet.
TEST(peer, a_wrong_secret_reaches_no_handler)
{
    peer_client client{make_options(1, "guess"), called};
    const auto refused = client.call(server->address(), wire::gossip{}, call_timeout);
    CHECK(refused.delivery == peer_delivery::not_delivered);
    CHECK_EQUAL(1, served.at("peer_mac_failures").load());
    CHECK_EQUAL(0, gossips.load());
}

// Guards against an instance of a previous operator, which has another term, exchanging state with
// the new fleet.
TEST(peer, another_term_is_refused)
{
    peer_client client{make_options(2), called};
    const auto refused = client.call(server->address(), wire::gossip{}, call_timeout);
    CHECK(refused.delivery == peer_delivery::not_delivered);
    CHECK(refused.error.code == result_code::peer_term_mismatch);
    CHECK_EQUAL(1, served.at("peer_term_mismatches").load());
    CHECK_EQUAL(0, gossips.load());
}

// Guards against a recorded request taking effect twice.
TEST(peer, a_replayed_frame_closes_the_connection)
{
    raw_peer peer{server->address()};
    const auto bytes =
        *peer.codec.seal(encode("gossip", apache::thrift::protocol::T_CALL, 1, wire::gossip{}));
    peer.send(bytes);
    CHECK(!peer.receive().empty());
    peer.send(bytes);
    CHECK(peer.receive().empty());
    CHECK_EQUAL(1, gossips.load());
    CHECK_EQUAL(1, served.at("peer_mac_failures").load());
}

// Guards against a sender controlling memory use through the frame size it declares.
TEST(peer, an_oversized_frame_closes_the_connection)
{
    raw_peer peer{server->address()};
    peer.send({"\x7f\xff\xff\xff", 4});
    CHECK(peer.receive().empty());
    CHECK_EQUAL(1, served.at("peer_oversized_frames").load());

    peer_client client{make_options(), called};
    const auto refused = client.call(server->address(),
                                     make_forward_request(std::string(200'000, 'x')), call_timeout);
    CHECK(refused.delivery == peer_delivery::not_delivered);
    CHECK(refused.error.code == result_code::request_too_large);
}

// Guards against a reactor crash on an authenticated payload that is not a message.
TEST(peer, a_malformed_message_closes_the_connection)
{
    raw_peer peer{server->address()};
    peer.send(*peer.codec.seal("no thrift message"));
    CHECK(peer.receive().empty());
    CHECK_EQUAL(1, served.at("peer_malformed_frames").load());
}

// Guards against a failing handler breaking other calls of the connection.
TEST(peer, a_handler_that_throws_loses_only_its_answer)
{
    server.reset();
    handler.forward = [](const auto&, const auto&) -> wire::forward_reply {
        throw std::runtime_error("broken");
    };
    server = std::make_unique<peer_server>(make_options(), handler, served);
    peer_client client{make_options(), called};
    CHECK(client.call(server->address(), make_forward_request("x"), call_timeout).delivery ==
          peer_delivery::answer_lost);
    CHECK(client.call(server->address(), wire::received_query{}, call_timeout).delivery ==
          peer_delivery::answer_lost); // has no handler
    CHECK(gossip_works(client, server->address()));
    CHECK_EQUAL(1, called.at("peer_connections_opened").load());
}

// Guards against reporting "not delivered" for a request that may have run, and "answer lost" for
// one that was never sent.
TEST(peer, the_outcome_distinguishes_not_delivered_from_answer_lost)
{
    peer_client client{make_options(), called};
    const auto address = server->address();
    blocking = true;
    std::thread stopper{[&] {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        server.reset();
    }};
    const auto lost = client.call(address, make_forward_request("x"), call_timeout);
    CHECK(lost.delivery == peer_delivery::answer_lost);
    blocking = false;
    stopper.join();
    const auto refused = client.call(address, make_forward_request("x"), call_timeout);
    CHECK(refused.delivery == peer_delivery::not_delivered);
}

// Guards against two processes holding the same address: a successful bind is taken as proof that
// the previous process has terminated.
TEST(peer, an_address_has_one_listener_and_is_free_after_it)
{
    auto options = make_options();
    options.address = server->address();
    CHECK_THROWS(std::runtime_error, (peer_server{options, handler, served}));
    peer_client client{make_options(), called};
    CHECK(gossip_works(client, server->address()));
    server.reset(); // closes first, which leaves its connection in TIME_WAIT
    peer_server successor{options, handler, served};
    CHECK(gossip_works(client, successor.address()));
}

// Guards against losing fields of a digest in the conversion.
TEST(peer, a_digest_round_trips_through_its_message)
{
    gossip_digest digest;
    digest.own = {5, 9, member_state::draining};
    digest.config_term = 2;
    digest.config_version = 12;
    digest.heartbeats = {{7, 100, member_state::active}, {8, 1, member_state::draining}};
    digest.details = {{"router-1", "router-1-00", "127.0.0.1:80", "127.0.0.1:81", "north-a",
                       "scot-north", 1700, member_state::active, 4, 2, 11}};
    digest.known = 3;
    digest.doubts = {{8, 1, member_state::draining}};
    digest.wanted = {3};
    digest.sought = {"grit"};
    digest.hints = {{7, "grit", 500, time_ms{30}}};
    CHECK(to_digest(decode<wire::gossip>(encode(to_message(digest)))) == digest);
}
