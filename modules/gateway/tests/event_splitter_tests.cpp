#include "gateway/event_splitter.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace jujubevalve;

namespace
{
/// Adds a stream in pieces of one size and returns its events, each in brackets.
std::string split(event_splitter& splitter, const std::string& stream, std::size_t piece_bytes)
{
    std::string events;
    for (std::size_t at = 0; at < stream.size(); at += piece_bytes) {
        splitter.add(stream.substr(at, piece_bytes));
        while (const auto event = splitter.next()) {
            events += "[" + std::string{event->id} + ":" + std::string{event->bytes} + "]";
        }
    }
    return events;
}
} // namespace

TEST_GROUP(event_splitter)
{
    event_splitter splitter;
};

// Guards against an event that is missed because its end arrives in pieces.
TEST(event_splitter, finds_each_event_however_the_bytes_arrive)
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n\n\ndata: c\n\nid: 4\n";
    const std::string expected =
        "[1:id: 1\ndata: a\n\n][2:id:2\r\ndata: b\r\n\r\n][:\n\n][:data: c\n\n]";
    for (std::size_t piece_bytes = 1; piece_bytes <= stream.size(); ++piece_bytes) {
        event_splitter fresh;
        STRCMP_EQUAL(expected.c_str(), split(fresh, stream, piece_bytes).c_str());
        CHECK_EQUAL(6U, fresh.partial_bytes());
    }
}

// Guards against time that grows with the square of what has arrived of an event without end.
TEST(event_splitter, reports_the_size_of_an_event_without_end)
{
    const std::string piece(1000, 'x');
    for (std::size_t pieces = 1; pieces <= 20'000; ++pieces) {
        splitter.add(piece);
        CHECK_FALSE(splitter.next().has_value());
        CHECK_EQUAL(pieces * piece.size(), splitter.partial_bytes());
    }
    splitter.clear();
    CHECK_EQUAL(0U, splitter.partial_bytes());
    STRCMP_EQUAL("[7:id: 7\n\n]", split(splitter, "id: 7\n\n", 3).c_str());
}
