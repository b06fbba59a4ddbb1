#include "process/caller.h"
#include "process/fleet.h"
#include "standins/tcp_relay.h"

#include <thread>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::process;

namespace
{
// Stated targets of the design page.
constexpr time_ms leaving_target = seconds(3);
constexpr time_ms config_target = seconds(5);

nlohmann::json& pool_named(nlohmann::json& tables, const std::string& name)
{
    for (auto& row : tables["pools"]) {
        if (row["name"] == name) {
            return row;
        }
    }
    throw std::runtime_error{"no pool " + name};
}

void wait_until(time_ms time)
{
    while (steady_clock_ms{}.now() < time) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
}
} // namespace

TEST_GROUP(table_edits)
{
    std::unique_ptr<fleet> all;
    int sent = 0;

    void start(const fleet_options& options = {})
    {
        all = std::make_unique<fleet>(options);
        for (const auto* name : {"entry-a", "entry-b"}) {
            all->start_ready(name);
        }
        CHECK(all->wait_live("entry-a", 2));
        CHECK(all->wait_live("entry-b", 2));
    }

    void apply(std::int64_t base)
    {
        const auto [code, output] = all->apply(base);
        LONGS_EQUAL_TEXT(0, code, output.c_str());
    }

    void chat(const std::string& router)
    {
        chat_caller caller{"edit-" + std::to_string(++sent), 5};
        const bool caller_answered = caller.run({router});
        CHECK_TEXT(caller_answered, caller.last_error().c_str());
    }

    void chat_everywhere(int times)
    {
        for (int i = 0; i < times; ++i) {
            chat(all->address("entry-a"));
            chat(all->address("entry-b"));
        }
    }

    // Chats until engine 1 has run some, so that the fleet does send work there.
    void use_engine_1()
    {
        CHECK(eventually([this] {
            chat_everywhere(1);
            return all->engine_stats(1)["starts"].get<int>() >= 4;
        }));
    }

    // Engine 1 was marked leaving before `marked`; it must get no new work from the target on.
    void check_left(time_ms marked)
    {
        wait_until(marked + leaving_target);
        const auto starts = all->engine_stats(1)["starts"].get<int>();
        const auto starts_2 = all->engine_stats(2)["starts"].get<int>();
        chat_everywhere(15);
        LONGS_EQUAL(starts, all->engine_stats(1)["starts"].get<int>());
        CHECK(all->engine_stats(2)["starts"].get<int>() >= starts_2 + 30);
    }
};

// G1, G8: guards against a top-up that routers do not see, so that they go on refusing.
TEST(table_edits, top_up_takes_effect_in_all_routers)
{
    start({.limit = 50});
    for (const auto* name : {"entry-a", "entry-b"}) {
        chat_caller refused{std::string{"before-"} + name, 20};
        CHECK_FALSE(refused.attempt(all->address(name)));
        STRCMP_EQUAL_TEXT("not_run", refused.outcome().c_str(), refused.last_error().c_str());
    }
    LONGLONGS_EQUAL(0, all->consumed("briefs"));
    pool_named(all->tables(), "models")["limit_tokens"] = 1'000'000'000;
    apply(1);
    for (const auto* name : {"entry-a", "entry-b"}) {
        chat_caller caller{std::string{"after-"} + name, 20};
        const bool answered =
            eventually([&] { return caller.attempt(all->address(name)); }, config_target);
        CHECK_TEXT(answered, caller.last_error().c_str());
    }
}

// G6: guards against work for a server that the pools table marks leaving.
TEST(table_edits, server_leaving_by_table_gets_no_new_work)
{
    start();
    use_engine_1();
    pool_named(all->tables(), "models")["servers"][0]["leaving"] = true;
    apply(1);
    check_left(steady_clock_ms{}.now());
}

// G6: guards against work for a server that the platform's instance list marks leaving.
TEST(table_edits, server_leaving_by_instance_list_gets_no_new_work)
{
    start();
    all->list_instance("add", "engine-1");
    use_engine_1();
    all->list_instance("leaving", "engine-1");
    check_left(steady_clock_ms{}.now());
}

// G6: guards against work for a server whose load report says that it is leaving.
TEST(table_edits, server_leaving_by_load_report_gets_no_new_work)
{
    start();
    use_engine_1();
    all->engine_faults(1, {{"leaving", true}});
    check_left(steady_clock_ms{}.now());
    const auto stats = all->engine_stats(1);
    CHECK(stats["latest_start_after_leaving_ms"].get<std::int64_t>() <= leaving_target.count());
}

// G8: guards against a configuration that does not reach a router which cannot reach the platform,
// neither one that runs nor one that starts.
TEST(table_edits, configuration_reaches_routers_that_are_cut_off_from_the_platform)
{
    start();
    tcp_relay relay{all->platform_address()};
    all->platform_for_routers = relay.address();
    all->start_ready("entry-c");
    CHECK(all->wait_live("entry-c", 3));
    relay.set_mode(tcp_relay::mode::refuse);
    relay.cut_open();
    all->tables()["routes"][0]["request_kind"] = "renamed-assist";
    apply(1);
    const auto applied = steady_clock_ms{}.now();
    const std::vector<std::string> names{"entry-a", "entry-b", "entry-c"};
    CHECK(eventually(
        [&] {
            return std::all_of(names.begin(), names.end(), [&](const auto& name) {
                return all->metrics(name)["config_version"] == 2;
            });
        },
        config_target - (steady_clock_ms{}.now() - applied)));
    // Started without the platform, it takes the configuration from its peers.
    all->start_ready("entry-d");
    LONGS_EQUAL(2, all->metrics("entry-d")["config_version"]);
    chat_caller old_kind{"old-kind", 5};
    CHECK_FALSE(old_kind.attempt(all->address("entry-d")));
    STRCMP_EQUAL_TEXT("unknown_route", old_kind.type().c_str(), old_kind.last_error().c_str());
}

// G8: guards against an edit that overwrites a concurrent one.
TEST(table_edits, one_of_two_racing_edits_wins_and_the_other_is_stale)
{
    start();
    for (std::int64_t base = 1; base <= 3; ++base) {
        std::pair<int, std::string> first;
        std::pair<int, std::string> second;
        const auto edit = [&](std::int64_t limit) {
            auto& pool = pool_named(all->tables(), "models");
            pool["limit_tokens"] = limit;
        };
        edit(2'000'000'000 + base);
        const auto tables = all->write_tables(base);
        edit(3'000'000'000 + base);
        const auto other_tables = all->write_tables(base);
        std::thread other{[&] { second = all->apply_file(other_tables, base); }};
        first = all->apply_file(tables, base);
        other.join();
        const auto& winner = first.first == 0 ? first : second;
        const auto& loser = first.first == 0 ? second : first;
        LONGS_EQUAL_TEXT(0, winner.first, winner.second.c_str());
        LONGS_EQUAL_TEXT(1, loser.first, loser.second.c_str());
        CHECK_TEXT(loser.second.find("stale_version") != std::string::npos, loser.second.c_str());
    }
    CHECK(eventually([&] { return all->metrics("entry-a")["config_version"] == 4; }));
}
