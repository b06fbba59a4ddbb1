#include "dispatch/fleet_config.h"
#include "dispatch/fleet_retry_budget.h"
#include "dispatch/instance_registry.h"
#include "dispatch/server_choice.h"
#include "dispatch/server_directory.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>

using namespace jujubevalve;

namespace
{
server_entry entry(const std::string& id, const std::string& domain = "a")
{
    return {id, "models", "127.0.0.1:1", domain, 8, false, {}, 1};
}

generation_request prompt(std::uint64_t session, std::uint64_t own_block)
{
    return {9000, 50, {{1, 2500}, {session, 3800}, {own_block, 2700}}};
}
} // namespace

TEST_GROUP(fleet_config){
    static call_route route(const std::string& name, const std::string& prefix){call_route made;
made.name = name;
made.host = "host.example";
made.prefix = prefix;
made.services = {{"models", 1}};
return made;
}
}
;

TEST(fleet_config, takes_the_longest_prefix_of_the_host)
{
    const fleet_config config{{1, {route("short", "/a/"), route("long", "/a/b/")}, {}, {}, {}}};
    STRCMP_EQUAL("long", config.find_route("host.example", "/a/b/c?x=/z/")->name.c_str());
    STRCMP_EQUAL("short", config.find_route("HOST.example:80", "/a/bc/")->name.c_str());
    POINTERS_EQUAL(nullptr, config.find_route("host.example", "/b/"));
    POINTERS_EQUAL(nullptr, config.find_route("other.example", "/a/"));
}

// Guards against matching a route prefix against the query string.
TEST(fleet_config, does_not_match_the_query)
{
    const fleet_config config{{1, {route("long", "/a/b/")}, {}, {}, {}}};
    POINTERS_EQUAL(nullptr, config.find_route("host.example", "/a?/b/"));
}

TEST(fleet_config, finds_accounts_by_key)
{
    fleet_config_content content;
    content.accounts = {{{"crew", {"k1", "k2"}, 1, 500}}};
    const fleet_config config{content};
    STRCMP_EQUAL("crew", config.find_account("k2")->name.c_str());
    POINTERS_EQUAL(nullptr, config.find_account("k3"));
}

TEST_GROUP(server_directory)
{
    server_directory servers;
    time_ms now{100'000};

    void setup() override
    {
        servers.replace_all({entry("s1"), entry("s2")}, now);
    }
    [[nodiscard]] std::size_t candidate_count()
    {
        return servers.candidates("models").size();
    }
};

TEST(server_directory, drops_a_removed_entry_at_once_while_the_registry_is_reachable)
{
    servers.remove("s1", now);
    CHECK_EQUAL(1U, candidate_count());
}

// Guards against refusing all requests when registrations lapsed only because the registry was
// unreachable.
TEST(server_directory, keeps_lapsed_entries_until_live_servers_have_registered_again)
{
    servers.note_registry_read(now);
    now = now + seconds(8);
    servers.note_registry_read(now);
    servers.replace_all({entry("s2")}, now);
    CHECK_EQUAL(2U, candidate_count());
    now = now + seconds(1);
    servers.put(entry("s1"), now);
    now = now + seconds(2);
    servers.expire(now);
    CHECK_EQUAL(2U, candidate_count());
}

TEST(server_directory, drops_lapsed_entries_that_do_not_return)
{
    servers.note_registry_read(now);
    now = now + seconds(8);
    servers.note_registry_read(now);
    servers.replace_all({entry("s2")}, now);
    for (int i = 0; i < 3; ++i) {
        now = now + seconds(1);
        servers.note_registry_read(now);
    }
    servers.expire(now);
    CHECK_EQUAL(1U, candidate_count());
}

// Load pattern: a slow store. Reads take so long that it counts as unreachable every second, but a
// server that was removed meanwhile must not get further work.
TEST(server_directory, a_slow_registry_does_not_keep_removed_servers)
{
    for (int i = 0; i < 5; ++i) {
        servers.note_registry_read(now);
        now = now + time_ms{1000};
    }
    servers.remove("s1", now);
    CHECK_EQUAL(1U, candidate_count());
}

// Guards against requests to servers of a failure domain that the operator has evacuated, also if
// all other domains are evacuated too, and against lasting exclusion.
TEST(server_directory, excludes_servers_of_evacuated_domains)
{
    auto elsewhere = entry("s3");
    elsewhere.failure_domain = "b";
    servers.put(elsewhere, now);
    const auto domain = servers.find("s1")->entry.failure_domain;
    servers.evacuated_domains().set(domain, true);
    CHECK_EQUAL(1U, candidate_count());
    servers.put(entry("s4"), now); // starts in the evacuated domain
    CHECK_EQUAL(1U, candidate_count());
    servers.evacuated_domains().set("b", true);
    CHECK_EQUAL(0U, candidate_count());
    servers.evacuated_domains().replace_all({"b"});
    CHECK_EQUAL(3U, candidate_count());
}

TEST(server_directory, excludes_a_draining_server_from_the_candidates)
{
    auto leaving = entry("s1");
    leaving.leaving = true;
    servers.put(leaving, now);
    CHECK_EQUAL(1U, candidate_count());
}

// Guards against avoiding a restarted server because of failures before its restart.
TEST(server_directory, resets_the_state_of_a_server_with_a_new_incarnation)
{
    servers.ended("s1", server_verdict::unreachable, now);
    servers.ended("s1", server_verdict::unreachable, now);
    CHECK(servers.find("s1")->avoid_until > now);
    auto restarted = entry("s1");
    restarted.incarnation = 2;
    servers.put(restarted, now);
    CHECK_FALSE(servers.find("s1")->avoid_until > now);
}

// Guards against rewriting the digest with each heartbeat of a cold server, and against a server
// that stays cold, or is taken for warm, after its registration says otherwise.
TEST(server_directory, keeps_the_end_of_a_warm_up_until_the_server_names_another)
{
    auto cold = entry("s1");
    const auto put_with_end = [&](time_ms end) {
        cold.cold_until = end;
        servers.put(cold, now);
        return servers.find("s1")->entry.cold_until;
    };
    CHECK(put_with_end(time_ms{5000}) == time_ms{5000});
    CHECK(put_with_end(time_ms{4700}) == time_ms{5000});
    CHECK(put_with_end(time_ms{9000}) == time_ms{9000});
    CHECK(put_with_end(time_ms{5000}) == time_ms{5000});
    CHECK(put_with_end(time_ms{}) == time_ms{});
}

TEST(server_directory, avoids_an_unreachable_server_for_longer_each_time)
{
    time_ms last{};
    for (int i = 0; i < 4; ++i) {
        servers.ended("s1", server_verdict::unreachable, now);
        CHECK(servers.find("s1")->avoid_until >= last);
        last = servers.find("s1")->avoid_until;
    }
    CHECK(last > now);
    servers.ended("s1", server_verdict::good, now);
    CHECK_FALSE(servers.find("s1")->avoid_until > now);
}

TEST_GROUP(server_choice)
{
    server_directory servers;
    time_ms now{100'000};
    server_choice choice{{}, 1};
    server_choice other_instance{{}, 2};

    void setup() override
    {
        std::vector<server_entry> entries;
        for (int i = 0; i < 9; ++i) {
            entries.push_back(entry("s" + std::to_string(i)));
        }
        servers.replace_all(entries, now);
    }
    std::string pick(server_choice & by, const generation_request* generation,
                     const std::vector<std::string>& tried = {})
    {
        const auto* const server = by.choose(servers.candidates("models"), generation, tried, now);
        return server == nullptr ? std::string{} : server->entry.id;
    }
};

// Guards against instances caching the same prompt blocks at different servers.
TEST(server_choice, instances_agree_on_the_server_of_a_session)
{
    std::set<std::string> used;
    for (std::uint64_t session = 10; session < 60; ++session) {
        const auto first = prompt(session, 1000 + session);
        const auto second = prompt(session, 2000 + session);
        const auto server = pick(choice, &first);
        STRCMP_EQUAL(server.c_str(), pick(other_instance, &second).c_str());
        used.insert(server);
    }
    CHECK(used.size() >= 7);
}

// Load pattern: a hot key; one session gets a large share of the traffic.
TEST(server_choice, spreads_a_hot_session_over_more_servers)
{
    std::map<std::string, int> sent;
    for (std::uint64_t i = 0; i < 60; ++i) {
        const auto generation = prompt(10, 1000 + i);
        const auto server = pick(choice, &generation);
        ++sent[server];
        servers.started(server, 2700);
    }
    CHECK(sent.size() >= 3);
    const auto most = std::max_element(
        sent.begin(), sent.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    CHECK(most->second <= 30);
}

TEST(server_choice, skips_tried_servers_and_avoids_failing_ones)
{
    const auto generation = prompt(10, 1);
    const auto first = pick(choice, &generation);
    const auto second = pick(choice, &generation, {first});
    CHECK(first != second);
    servers.ended(first, server_verdict::unreachable, now);
    servers.ended(first, server_verdict::unreachable, now);
    CHECK(pick(choice, &generation) != first);
}

// Guards against refusing requests because all servers failed recently.
TEST(server_choice, chooses_an_avoided_server_if_there_is_no_other)
{
    for (auto* const server : servers.candidates("models")) {
        servers.ended(server->entry.id, server_verdict::unreachable, now);
        servers.ended(server->entry.id, server_verdict::unreachable, now);
    }
    CHECK_FALSE(pick(choice, nullptr).empty());
}

TEST_GROUP(fleet_retry_budget){static int retries_taken(int instances, int requests_each){
    const fleet_retry_limit limit{0.2, seconds(10), 56};
int retries = 0;
for (int i = 0; i < instances; ++i) {
    fleet_retry_budget budget{limit};
    budget.set_instances(instances);
    for (int n = 0; n < requests_each; ++n) {
        budget.add_request(time_ms{1000});
    }
    while (budget.take(time_ms{1000})) {
        ++retries;
    }
}
return retries;
}
}
;

// Guards against the fleet exceeding its retry limit when all servers of a service fail.
TEST(fleet_retry_budget, the_fleet_stays_within_the_limit)
{
    for (const int instances : {1, 8, 90, 450}) {
        for (const int requests : {0, 10, 300}) {
            CHECK(retries_taken(instances, requests) <= 0.2 * instances * requests + 56);
        }
    }
    CHECK(retries_taken(8, 100) >= 100);
}

TEST(fleet_retry_budget, the_window_slides)
{
    fleet_retry_budget budget{{0, seconds(10), 5}};
    while (budget.take(time_ms{100})) {
    }
    CHECK_FALSE(budget.take(time_ms{9'000}));
    budget = fleet_retry_budget{{1.0, seconds(10), 0}};
    for (int i = 0; i < 10; ++i) {
        budget.add_request(time_ms{0});
    }
    CHECK(budget.take(time_ms{1}));
    CHECK_FALSE(budget.take(time_ms{20'000}));
}

TEST_GROUP(instance_registry)
{
    instance_registry entries{"self", {}};
    time_ms now{100'000};

    static instance_heartbeat heartbeat(const std::string& name, std::int64_t number,
                                        bool serving = true)
    {
        return {name, name + "-1", name + ":80", "a", number, serving, 100, 10, {}, {}};
    }
    [[nodiscard]] std::size_t listed_count() const
    {
        return entries.addresses(heartbeat("self", 1), now).size();
    }
    void add(const std::string& name, std::int64_t capacity, std::int64_t rate)
    {
        auto made = heartbeat(name, 1);
        made.capacity = capacity;
        made.request_rate = rate;
        entries.observe(made, now);
    }
};

TEST(instance_registry, omits_stopping_instances_and_those_without_recent_heartbeats)
{
    entries.observe(heartbeat("b", 1), now);
    entries.observe(heartbeat("c", 1), now);
    CHECK_EQUAL(3U, listed_count());
    entries.observe(heartbeat("b", 2, false), now);
    CHECK_EQUAL(2U, listed_count());
    now = now + seconds(4);
    CHECK_EQUAL(1U, listed_count());
}

// Guards against all instances that are cut off from the store using the relay of the same one, or
// that of a small machine while large ones are there.
TEST(instance_registry, instances_that_are_cut_off_spread_over_the_relays_of_large_machines)
{
    std::map<std::string, int> first_choices;
    for (int i = 0; i < 60; ++i) {
        const auto own = "small-" + std::to_string(i);
        instance_registry registry{own, {}};
        for (int other = 0; other < 66; ++other) {
            const bool is_large = other >= 60;
            auto made = heartbeat((is_large ? "large-" : "small-") + std::to_string(other), 1);
            made.capacity = is_large ? 400 : 30;
            made.relay = made.instance;
            registry.observe(made, now);
        }
        const auto relays = registry.relays(heartbeat(own, 1), now);
        CHECK_EQUAL(65U, relays.size());
        ++first_choices[relays.front()];
    }
    CHECK_EQUAL(6U, first_choices.size());
    for (const auto& [relay, instances] : first_choices) {
        CHECK(relay.starts_with("large-"));
        CHECK(instances <= 25);
    }
}

// Guards against counting a heartbeat row that is read a second time as a sign of life.
TEST(instance_registry, a_repeated_heartbeat_does_not_keep_an_instance_live)
{
    entries.observe(heartbeat("b", 1), now);
    now = now + seconds(4);
    entries.observe(heartbeat("b", 1), now);
    CHECK_EQUAL(1U, listed_count());
}

// Guards against naming instances that ended long ago when all rows are read anew.
TEST(instance_registry, an_old_heartbeat_that_is_read_for_the_first_time_is_no_sign_of_life)
{
    entries.use_digest({heartbeat("b", 0)}, 2, {});
    entries.use_heartbeats();
    entries.observe(heartbeat("b", 7), now, time_ms{900});
    entries.observe(heartbeat("dead", 7), now, seconds(20));
    CHECK_EQUAL(2U, listed_count());
    entries.observe(heartbeat("dead", 8), now);
    CHECK_EQUAL(3U, listed_count());
    // The others could not renew theirs while the store was unreachable.
    entries.set_reachable(false, now);
    entries.set_reachable(true, now);
    entries.observe(heartbeat("c", 7), now, seconds(20));
    CHECK_EQUAL(4U, listed_count());
}

// Guards against sending all callers to one instance while the store is unreachable and no
// heartbeat can arrive.
TEST(instance_registry, keeps_all_instances_while_the_store_is_unreachable)
{
    entries.observe(heartbeat("b", 1), now);
    entries.set_reachable(false, now);
    now = now + seconds(30);
    CHECK_EQUAL(2U, listed_count());
    entries.set_reachable(true, now);
    now = now + seconds(2);
    CHECK_EQUAL(2U, listed_count());
    now = now + seconds(2);
    CHECK_EQUAL(1U, listed_count());
}

// Load pattern: a few large machines among many small ones; each listed machine gets the same load.
TEST(instance_registry, lists_only_large_machines_while_they_can_handle_the_demand)
{
    for (int i = 0; i < 6; ++i) {
        add("large-" + std::to_string(i), 300, 100);
    }
    for (int i = 0; i < 60; ++i) {
        add("small-" + std::to_string(i), 30, 5);
    }
    auto own = heartbeat("self", 1);
    own.capacity = 30;
    CHECK_EQUAL(6U, entries.addresses(own, now).size());
}

TEST(instance_registry, lists_all_machines_when_the_large_ones_cannot_handle_the_demand)
{
    for (int i = 0; i < 4; ++i) {
        add("large-" + std::to_string(i), 300, 300);
    }
    for (int i = 0; i < 59; ++i) {
        add("small-" + std::to_string(i), 40, 20);
    }
    auto own = heartbeat("self", 1);
    own.capacity = 40;
    CHECK_EQUAL(64U, entries.addresses(own, now).size());
}

// Guards against sending all callers to very few machines when there is little traffic.
TEST(instance_registry, spreads_callers_over_machines_of_similar_capacity)
{
    for (int i = 0; i < 7; ++i) {
        add("same-" + std::to_string(i), 100 + i, 1);
    }
    CHECK_EQUAL(8U, listed_count());
}
