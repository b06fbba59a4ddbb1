#include "core/limited_buffer.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <string>
#include <vector>

using namespace jujubevalve;

TEST_GROUP(limited_buffer)
{
    static constexpr std::size_t total_bytes = 1'000'000;
    static constexpr std::size_t guaranteed_bytes = 10'000;
    static constexpr std::size_t max_bytes = 500'000;
    buffer_memory memory{total_bytes, guaranteed_bytes};
};

// Load pattern: a hundred servers send bodies without end, while others respond as usual.
TEST(limited_buffer, endless_bodies_leave_room_for_small_responses)
{
    constexpr std::size_t servers = 100;
    const std::string piece(8'000, 'x');
    std::vector<std::unique_ptr<limited_buffer>> endless;
    for (std::size_t i = 0; i < servers; ++i) {
        endless.push_back(std::make_unique<limited_buffer>(memory, max_bytes));
    }
    for (int round = 0; round < 100; ++round) {
        for (const auto& buffer : endless) {
            if (!buffer->append(piece)) {
                buffer->clear(); // its request fails and is sent elsewhere
            }
            CHECK(memory.used() <= total_bytes + servers * guaranteed_bytes);
        }
        limited_buffer sound{memory, max_bytes};
        CHECK(sound.append(std::string(800, 'y')));
    }
}

TEST(limited_buffer, accepts_a_large_response_while_there_is_memory)
{
    limited_buffer buffer{memory, max_bytes};
    CHECK(buffer.append(std::string(max_bytes, 'x')));
    CHECK_FALSE(buffer.append("x"));
    CHECK_EQUAL(max_bytes, buffer.bytes().size());
}

TEST(limited_buffer, frees_its_memory)
{
    {
        limited_buffer buffer{memory, max_bytes};
        CHECK(buffer.append("response"));
        CHECK_EQUAL(8U, memory.used());
        buffer.clear();
        CHECK_EQUAL(0U, memory.used());
        CHECK(buffer.append("another"));
    }
    CHECK_EQUAL(0U, memory.used());
}

// Guards against memory that stays counted after its response was handed on.
TEST(limited_buffer, does_not_count_what_was_taken)
{
    limited_buffer buffer{memory, max_bytes};
    CHECK(buffer.append("response"));
    CHECK_EQUAL(std::string{"response"}, buffer.take());
    CHECK_EQUAL(0U, memory.used());
    CHECK(buffer.bytes().empty());
}
