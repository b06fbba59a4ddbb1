// Choice among servers that differ in pace, as their load reports show it.
#include "dispatch/server_choice.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <random>
#include <string>

using namespace jujubevalve;

namespace
{
constexpr int server_count = 12;
constexpr int fast_count = 3; ///< the servers with the lowest numbers
constexpr std::int64_t fast_percent = 55;
constexpr std::int64_t slow_percent = 120;

std::string name(int number)
{
    return "s" + std::to_string(number);
}

/// An instance that reads load reports of servers, 15% of which come from a moment at which other
/// users of the machine slow it down.
struct instance {
    server_directory servers;
    server_choice choice;
    std::minstd_rand random;
    time_ms now{100'000};

    explicit instance(std::uint64_t seed)
        : choice{{}, seed}
        , random{static_cast<std::minstd_rand::result_type>(seed)}
    {
        std::vector<server_entry> entries;
        for (int i = 0; i < server_count; ++i) {
            entries.push_back({name(i), "models", "127.0.0.1:1", "a", 16, false, {}, 1});
        }
        servers.replace_all(entries, now);
    }
    void report(int server, std::int64_t running, std::int64_t percent)
    {
        servers.reported(name(server), {running, 0, 16, percent}, now);
    }
    void read_reports(int of_each)
    {
        std::bernoulli_distribution is_disturbed{0.15};
        for (int i = 0; i < of_each * server_count; ++i) {
            const int server = i % server_count;
            const auto percent = server < fast_count ? fast_percent : slow_percent;
            report(server, 3, is_disturbed(random) ? percent * 5 / 2 : percent);
        }
        now = now + seconds(2);
    }
    std::string pick(std::uint64_t session)
    {
        const generation_request prompt{
            9000, 50, {{1, 2500}, {session, 3800}, {1'000'000 + session, 2700}}};
        return choice.choose(servers.candidates("models"), &prompt, {}, now)->entry.id;
    }
};
} // namespace

TEST_GROUP(server_pace){};

// Load pattern: a quarter of the servers works twice as fast as the others. Guards against prompts
// that wait at the slow ones while the fast ones have time.
TEST(server_pace, prompts_go_to_servers_in_proportion_to_their_pace)
{
    instance reader{1};
    reader.read_reports(10);
    constexpr int sessions = 600;
    int to_fast = 0;
    for (std::uint64_t session = 10; session < 10 + sessions; ++session) {
        const auto server = reader.pick(session);
        to_fast += server == name(0) || server == name(1) || server == name(2) ? 1 : 0;
    }
    // Of the work that all servers can do, the fast ones can do 42%.
    CHECK(to_fast > sessions * 36 / 100);
    CHECK(to_fast < sessions * 60 / 100);
}

// Guards against instances that cache the same blocks at different servers because each has read
// other reports of them.
TEST(server_pace, instances_agree_whatever_moments_their_reports_show)
{
    instance one{1};
    instance other{2};
    one.read_reports(9);
    other.read_reports(14);
    constexpr int sessions = 300;
    int agreed = 0;
    for (std::uint64_t session = 10; session < 10 + sessions; ++session) {
        agreed += one.pick(session) == other.pick(session) ? 1 : 0;
    }
    CHECK(agreed > sessions * 9 / 10);
}

// Load pattern: many instances read the same report of a server that is fast at that moment.
// Guards against all of them rushing to it.
TEST(server_pace, one_report_moves_nothing)
{
    instance reader{1};
    reader.read_reports(10);
    std::map<std::uint64_t, std::string> before;
    for (std::uint64_t session = 10; session < 210; ++session) {
        before[session] = reader.pick(session);
    }
    reader.report(7, 0, 30);
    reader.report(1, 3, 400);
    reader.now = reader.now + time_ms{400};
    int moved = 0;
    for (const auto& [session, server] : before) {
        moved += reader.pick(session) == server ? 0 : 1;
    }
    CHECK(moved <= 4);
}

// Load pattern: small prompts beside large ones at servers that differ in pace. Guards against
// short requests that wait at slow servers although nothing holds them there.
TEST(server_pace, small_prompts_go_where_little_work_waits)
{
    instance reader{1};
    reader.read_reports(10);
    for (std::uint64_t session = 10; session < 110; ++session) {
        const generation_request prompt{700, 200, {{session, 150}, {1'000'000 + session, 550}}};
        const auto* const server =
            reader.choice.choose(reader.servers.candidates("models"), &prompt, {}, reader.now);
        CHECK(server->pace.slowness(1) < 1);
    }
}

// Guards against other choices where servers report no slowness.
TEST(server_pace, reports_without_slowness_leave_the_pace_unknown)
{
    server_pace pace;
    pace.add({4, 0, 16, std::nullopt});
    CHECK_FALSE(pace.is_known());
    DOUBLES_EQUAL(0, pace.average_load(), 0);
}

// Load pattern: a machine that turns slow for good. Guards against a pace that is never learned
// again.
TEST(server_pace, a_lasting_change_shows_after_some_reports)
{
    server_pace pace;
    DOUBLES_EQUAL(0.7, pace.slowness(0.7), 1e-9);
    for (int i = 0; i < 40; ++i) {
        pace.add({4, 0, 16, 60});
    }
    DOUBLES_EQUAL(0.6, pace.slowness(1), 1e-9);
    for (int i = 0; i < 8; ++i) {
        pace.add({4, 2, 16, 240});
    }
    DOUBLES_EQUAL(2.4, pace.slowness(1), 1e-9);
    CHECK(pace.average_load() > 4.2);
    CHECK(pace.average_load() < 6);
}
