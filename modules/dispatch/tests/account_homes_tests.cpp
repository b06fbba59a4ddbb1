#include "dispatch/account_homes.h"
#include "dispatch/lent_reservations.h"
#include "dispatch/own_demand.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <set>
#include <string>

using namespace jujubevalve;

TEST_GROUP(account_homes)
{
    static constexpr int accounts = 400;
    time_ms now{100'000};

    static std::vector<home_candidate> candidates(int count)
    {
        std::vector<home_candidate> made;
        for (int i = 0; i < count; ++i) {
            const auto name = "i-" + std::to_string(i);
            made.push_back({name, name + ":7355"});
        }
        return made;
    }
    static std::string account(int i)
    {
        return "account-" + std::to_string(i);
    }
};

// Load pattern: hundreds of accounts at 15 machines that carry the callers. Each account's ledger
// must have one regular writer, and no machine may be the home of most accounts.
TEST(account_homes, instances_agree_and_share_the_accounts_evenly)
{
    constexpr int instances = 15;
    account_homes a{"i-0"};
    account_homes b{"i-1"};
    a.set_candidates(candidates(instances));
    b.set_candidates(candidates(instances));
    std::map<std::string, int> homes;
    for (int i = 0; i < accounts; ++i) {
        CHECK(a.homes(account(i), now) == b.homes(account(i), now));
        ++homes[a.homes(account(i), now).front().instance];
    }
    CHECK_EQUAL(std::size_t{instances}, homes.size());
    for (const auto& [instance, count] : homes) {
        CHECK(count <= 3 * accounts / instances);
    }
}

// Guards against moving the grants of accounts whose home has not changed.
TEST(account_homes, only_the_accounts_of_a_lost_instance_move)
{
    account_homes homes{"i-0"};
    homes.set_candidates(candidates(8));
    std::map<int, std::string> before;
    for (int i = 0; i < accounts; ++i) {
        before[i] = homes.homes(account(i), now).front().instance;
    }
    homes.set_candidates(candidates(7));
    for (int i = 0; i < accounts; ++i) {
        if (before[i] != "i-7") {
            STRCMP_EQUAL(before[i].c_str(), homes.homes(account(i), now).front().instance.c_str());
        }
    }
}

TEST(account_homes, a_lost_home_is_replaced_by_the_standby)
{
    account_homes homes{"i-0"};
    homes.set_candidates(candidates(8));
    const auto ranked = homes.homes("crew", now);
    auto remaining = candidates(8);
    std::erase(remaining, ranked.front());
    homes.set_candidates(remaining);
    CHECK(homes.homes("crew", now).front() == ranked.at(1));
}

// Load pattern: a home freezes. Each instance may lose time on it once, not with each request.
TEST(account_homes, a_silent_home_is_asked_last_until_it_responds)
{
    account_homes homes{"i-0"};
    homes.set_candidates(candidates(8));
    const auto ranked = homes.homes("crew", now);
    homes.note_failure(ranked.front().instance, now);
    CHECK(homes.homes("crew", now + time_ms{100}).front() == ranked.at(1));
    CHECK(homes.homes("crew", now + time_ms{600}).front() == ranked.front());
    homes.note_failure(ranked.front().instance, now + time_ms{600});
    CHECK(homes.homes("crew", now + time_ms{1500}).front() == ranked.at(1));
    homes.note_response(ranked.front().instance);
    CHECK(homes.homes("crew", now + time_ms{1500}).front() == ranked.front());
}

TEST(account_homes, knows_its_own_rank)
{
    int first = 0;
    int second = 0;
    for (int i = 0; i < 8; ++i) {
        account_homes homes{"i-" + std::to_string(i)};
        homes.set_candidates(candidates(8));
        const auto rank = homes.own_rank("crew");
        first += rank == 0U ? 1 : 0;
        second += rank == 1U ? 1 : 0;
    }
    CHECK_EQUAL(1, first);
    CHECK_EQUAL(1, second);
}

TEST_GROUP(lent_reservations)
{
    lent_reservations lent;
};

// Guards against crediting a reservation twice when its end is reported twice.
TEST(lent_reservations, a_reservation_ends_once)
{
    lent.add("a-1", 7, 70, time_ms{0});
    CHECK(lent.take("a-1", 7) == reservation_id{70});
    CHECK_FALSE(lent.take("a-1", 7).has_value());
    CHECK_FALSE(lent.take("b-1", 7).has_value());
    CHECK(lent.borrowers().empty());
}

// Guards against ending the reservations of a restarted instance together with those of its
// predecessor.
TEST(lent_reservations, a_terminated_incarnation_loses_only_its_own)
{
    lent.add("a-1", 1, 10, time_ms{0});
    lent.add("a-1", 2, 20, time_ms{0});
    lent.add("a-2", 1, 30, time_ms{0});
    CHECK((lent.take_all("a-1") == std::vector<reservation_id>{10, 20}));
    CHECK_EQUAL(1U, lent.size());
    CHECK(lent.take("a-2", 1) == reservation_id{30});
}

// Guards against tokens that stay reserved for ever when the end of a reservation is never
// reported.
TEST(lent_reservations, old_reservations_are_taken_back)
{
    lent.add("a-1", 1, 10, time_ms{1'000});
    lent.add("a-1", 2, 20, time_ms{9'000});
    CHECK((lent.take_older_than(time_ms{5'000}) == std::vector<reservation_id>{10}));
    CHECK_EQUAL(1U, lent.size());
}

TEST_GROUP(own_demand)
{
    own_demand demand;
    time_ms now{100'000};

    void send(const std::string& account, int requests_per_s, time_ms duration)
    {
        const auto end = now + duration;
        while (now < end) {
            demand.add(account, 1'000, now);
            now = now + time_ms{1000 / requests_per_s};
        }
    }
};

// Load pattern: all callers of a large account stay with one small machine for a whole day.
TEST(own_demand, an_account_whose_callers_are_here_is_held_here)
{
    send("crew", 40, seconds(5));
    // As the home sees it, and afterwards.
    CHECK(demand.local_accounts({{"crew", 40'000}}, now).contains("crew"));
    CHECK(demand.local_accounts({}, now).contains("crew"));
}

TEST(own_demand, an_account_whose_callers_are_spread_is_left_to_its_home)
{
    send("crew", 10, seconds(5));
    CHECK_FALSE(demand.local_accounts({{"crew", 80'000}}, now).contains("crew"));
    send("office", 1, seconds(5));
    CHECK_FALSE(demand.local_accounts({{"office", 1'000}}, now).contains("office"));
}

TEST(own_demand, an_account_whose_callers_have_left_goes_back_to_its_home)
{
    send("crew", 40, seconds(5));
    CHECK(demand.local_accounts({{"crew", 40'000}}, now).contains("crew"));
    CHECK_FALSE(demand.local_accounts({}, now + seconds(20)).contains("crew"));
}
