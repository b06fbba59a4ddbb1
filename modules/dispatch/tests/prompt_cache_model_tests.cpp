// What an instance knows of the prompt blocks that servers hold.
#include "dispatch/prompt_cache_model.h"
#include "dispatch/server_choice.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
constexpr token_count memory = 100'000;

server_state make_server(const std::string& id, std::int64_t incarnation = 1)
{
    server_state server;
    server.entry = {id, "models", "127.0.0.1:1", "a", 16, false, {}, incarnation};
    return server;
}

/// A prompt of a shared beginning of 6000 tokens and 3000 of its own, for 1000 tokens of output.
generation_request make_prompt(std::uint64_t block, std::uint64_t own = 1)
{
    return {9000, 1000, {{1, 2000}, {block, 4000}, {1'000'000 + own, 3000}}};
}
} // namespace

TEST_GROUP(prompt_cache_model)
{
    prompt_cache_model model;

    void setup() override
    {
        model.set_memory("models", memory);
    }
};

// Load pattern: many lukewarm beginnings at a server with too little memory for all. Guards against
// counting on blocks that others have pushed out.
TEST(prompt_cache_model, a_block_is_held_until_others_need_its_memory)
{
    const auto server = make_server("s");
    model.remember(server, make_prompt(10));
    LONGS_EQUAL(6000, model.held_tokens(server, make_prompt(10, 2)));
    LONGS_EQUAL(2000, model.held_tokens(server, make_prompt(11, 2)));
    // Each brings its 8000 tokens beyond the common first block.
    for (std::uint64_t i = 0; i < 12; ++i) {
        model.remember(server, make_prompt(100 + i, 10 + i));
    }
    LONGS_EQUAL(6000, model.held_tokens(server, make_prompt(10, 3)));
    model.remember(server, make_prompt(200, 30));
    LONGS_EQUAL(2000, model.held_tokens(server, make_prompt(10, 4)));
}

// Load pattern: the other instances send to the same servers. Guards against an instance that takes
// the whole memory for its own requests.
TEST(prompt_cache_model, requests_of_other_instances_need_memory_too)
{
    const auto server = make_server("s");
    for (int i = 0; i < 5000; ++i) {
        model.note_own("models", 1);
        model.note_others("models", 9);
    }
    DOUBLES_EQUAL(10, model.fleet_factor("models"), 0.1);
    model.remember(server, make_prompt(10));
    model.remember(server, make_prompt(11, 2));
    LONGS_EQUAL(6000, model.held_tokens(server, make_prompt(10, 3)));
    model.remember(server, make_prompt(12, 4));
    LONGS_EQUAL(2000, model.held_tokens(server, make_prompt(10, 5)));
}

// Guards against waiting for a server because of blocks that it lost when it crashed.
TEST(prompt_cache_model, a_server_that_restarts_holds_nothing)
{
    model.remember(make_server("s", 1), make_prompt(10));
    LONGS_EQUAL(0, model.held_tokens(make_server("s", 2), make_prompt(10)));
    model.remember(make_server("s", 2), make_prompt(11));
    LONGS_EQUAL(0, model.held_tokens(make_server("s", 1), make_prompt(10)));
}

// Guards against memory that grows with every prompt ever seen.
TEST(prompt_cache_model, keeps_a_limited_number_of_blocks)
{
    prompt_cache_model small{{64, memory}};
    const auto server = make_server("s");
    for (std::uint64_t i = 0; i < 1000; ++i) {
        small.remember(server, make_prompt(10 + i, i));
        CHECK(small.size() <= 64);
    }
    LONGS_EQUAL(6000, small.held_tokens(server, make_prompt(1009)));
}

// Load pattern: a hot beginning. Guards against a queue at the server that holds it while reading
// it elsewhere would be faster, and against reading it elsewhere before.
TEST(prompt_cache_model, saved_reading_is_weighed_against_the_wait)
{
    server_directory servers;
    std::vector<server_entry> entries;
    for (int i = 0; i < 8; ++i) {
        entries.push_back(make_server("s" + std::to_string(i)).entry);
    }
    servers.replace_all(entries, time_ms{1000});
    server_choice choice{{}, 1};
    choice.set_engines({{"models", "/", 0, engine_options{16, memory, 4}, {}, 0}});
    const auto pick = [&](std::uint64_t own) {
        const auto prompt = make_prompt(10, own);
        return choice.choose(servers.candidates("models"), &prompt, {}, time_ms{1000});
    };
    auto* const holder = pick(1);
    choice.remember(*holder, make_prompt(10, 1));
    servers.started(holder->entry.id, 0);
    POINTERS_EQUAL(holder, pick(2)); // one running request costs less than reading again
    for (int i = 0; i < 15; ++i) {
        servers.started(holder->entry.id, 3000);
    }
    CHECK(pick(3) != holder);
}
