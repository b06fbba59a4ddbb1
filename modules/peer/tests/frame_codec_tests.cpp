#include "peer/frame_codec.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
constexpr std::size_t max_payload_bytes = 1000;

std::string feed_and_open(frame_codec& codec, std::string_view bytes)
{
    codec.feed(bytes);
    const auto opened = codec.open();
    return opened && opened->has_value() ? **opened : std::string{"nothing"};
}
} // namespace

TEST_GROUP(frame_codec)
{
    frame_codec client{"secret", frame_side::client, max_payload_bytes};
    frame_codec server{"secret", frame_side::server, max_payload_bytes};

    void exchange_hello()
    {
        CHECK_EQUAL(std::string{"hello"}, feed_and_open(server, *client.seal("hello")));
        CHECK_EQUAL(std::string{"welcome"}, feed_and_open(client, *server.seal("welcome")));
    }
    bool refuses(std::string_view bytes)
    {
        server.feed(bytes);
        const auto opened = server.open();
        return !opened && opened.error().code == result_code::peer_unauthenticated;
    }
};

// Guards against handling a frame before all of its bytes have arrived, or not at all.
TEST(frame_codec, frames_may_arrive_in_pieces)
{
    exchange_hello();
    auto bytes = *client.seal("one");
    bytes += *client.seal("two");
    std::string seen;
    for (const char byte : bytes) {
        server.feed({&byte, 1});
        const auto opened = server.open();
        CHECK(opened.has_value());
        seen += opened->value_or("");
    }
    CHECK_EQUAL(std::string{"onetwo"}, seen);
}

// Guards against a recorded frame taking effect twice.
TEST(frame_codec, a_replayed_frame_is_refused)
{
    exchange_hello();
    const auto bytes = *client.seal("transfer");
    CHECK_EQUAL(std::string{"transfer"}, feed_and_open(server, bytes));
    CHECK(refuses(bytes));
}

// Guards against an attacker reordering or removing frames.
TEST(frame_codec, a_frame_out_of_order_is_refused)
{
    exchange_hello();
    const auto first = *client.seal("first");
    const auto second = *client.seal("second");
    CHECK(refuses(second));
}

// Guards against replaying a frame of one connection on another.
TEST(frame_codec, a_frame_of_another_connection_is_refused)
{
    frame_codec other{"secret", frame_side::client, max_payload_bytes};
    frame_codec other_server{"secret", frame_side::server, max_payload_bytes};
    feed_and_open(other_server, *other.seal("hello"));
    feed_and_open(other, *other_server.seal("welcome"));
    exchange_hello();
    CHECK(refuses(*other.seal("transfer")));
}

// Guards against an answer being sent back to its sender as a request.
TEST(frame_codec, a_frame_of_the_other_direction_is_refused)
{
    exchange_hello();
    CHECK(refuses(*server.seal("answer")));
}

// Guards against a peer that does not know the fleet secret.
TEST(frame_codec, a_wrong_secret_is_refused)
{
    frame_codec stranger{"guess", frame_side::client, max_payload_bytes};
    CHECK(refuses(*stranger.seal("hello")));
}

// Guards against a sender controlling memory use through the frame size it declares.
TEST(frame_codec, an_oversized_frame_is_refused_by_its_size_alone)
{
    exchange_hello();
    server.feed(std::string{"\x7f\xff\xff\xff", 4});
    CHECK(server.open().error().code == result_code::request_too_large);
    CHECK(client.seal(std::string(max_payload_bytes + 1, 'x')).error().code ==
          result_code::request_too_large);
}
