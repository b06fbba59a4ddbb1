#include "dispatch/server_directory.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace jujubevalve;

/// Servers that say in their answers that they leave.
TEST_GROUP(leaving_servers)
{
    static constexpr std::int64_t first_start = 7;
    static constexpr std::int64_t second_start = 8;

    server_directory servers;
    time_ms now{100'000};

    static server_entry entry(const std::string& id, std::int64_t incarnation = first_start,
                              const std::string& address = "10.0.0.1:80")
    {
        server_entry made;
        made.id = id;
        made.service = "models";
        made.address = address;
        made.incarnation = incarnation;
        return made;
    }
    void setup() override
    {
        servers.note_registry_read(now);
        servers.put(entry("a"), now);
    }
    std::size_t candidates()
    {
        return servers.candidates("models").size();
    }
};

// Guards against sending requests to a server whose answer has said that it leaves, because its
// registration still says, or says again, that it is ready.
TEST(leaving_servers, a_later_reading_of_the_registration_does_not_take_the_word_back)
{
    CHECK(servers.note_leaving("a", first_start, now));
    CHECK_EQUAL(0, candidates());
    CHECK_FALSE(servers.note_leaving("a", first_start, now));
    servers.put(entry("a"), now + seconds(1));
    servers.replace_all({entry("a")}, now + seconds(2));
    CHECK_EQUAL(0, candidates());
}

// Guards against the same after the registration has lapsed and is back.
TEST(leaving_servers, the_word_outlasts_the_registration)
{
    servers.note_leaving("a", first_start, now);
    servers.remove("a", now);
    CHECK(servers.find("a") == nullptr);
    servers.put(entry("a"), now + seconds(1));
    CHECK_EQUAL(0, candidates());
}

// Guards against leaving out a server that has started again under its id.
TEST(leaving_servers, a_new_start_is_a_new_server)
{
    servers.note_leaving("a", first_start, now);
    servers.put(entry("a", second_start), now);
    CHECK_EQUAL(1, candidates());
    // An answer of the earlier start that arrives late says nothing of the new one.
    servers.note_leaving("a", first_start, now);
    CHECK_EQUAL(1, candidates());
    CHECK(servers.note_leaving("a", second_start, now));
    CHECK_EQUAL(0, candidates());
}

// Guards against an answer that overtakes the registration of the start that sent it.
TEST(leaving_servers, the_word_may_come_before_the_registration)
{
    servers.note_leaving("b", first_start, now);
    servers.put(entry("b", first_start, "10.0.0.2:80"), now);
    CHECK_EQUAL(1, candidates());
    CHECK(servers.find("b")->is_leaving());
}

// Guards against leaving out, for good, a server that does not say when it started.
TEST(leaving_servers, without_a_start_the_word_holds_for_an_address)
{
    servers.put(entry("b", 0, "10.0.0.2:80"), now);
    CHECK(servers.note_leaving("b", 0, now));
    CHECK_FALSE(servers.note_leaving("b", 0, now));
    servers.put(entry("b", 0, "10.0.0.2:80"), now);
    CHECK_EQUAL(1, candidates());
    servers.put(entry("b", 0, "10.0.0.3:80"), now);
    CHECK_EQUAL(2, candidates());
}

// Guards against memory that grows with each release; the newest words are kept.
TEST(leaving_servers, the_oldest_words_are_forgotten_first)
{
    constexpr int more_than_are_kept = 1500;
    for (int i = 0; i < more_than_are_kept; ++i) {
        servers.note_leaving("s" + std::to_string(i), first_start, now + time_ms{i});
    }
    servers.put(entry("s0"), now);
    CHECK_FALSE(servers.find("s0")->is_leaving());
    servers.put(entry("s1499"), now);
    CHECK(servers.find("s1499")->is_leaving());
}
