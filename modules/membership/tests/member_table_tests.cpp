#include "fake_network.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
member_entry entry_of(const std::string& instance, const std::string& suffix, int port,
                      std::int64_t started_ms)
{
    member_entry entry;
    entry.instance = instance;
    entry.incarnation = instance + "-" + suffix;
    entry.http_address = "10.0.0.1:80";
    entry.peer_address = "10.0.0.1:" + std::to_string(port);
    entry.started_ms = started_ms;
    return entry;
}

gossip_digest digest_with(const member_entry& detail)
{
    gossip_digest digest;
    digest.own = {id_of(detail.incarnation), detail.heartbeat, detail.state};
    digest.details = {detail};
    return digest;
}

fake_network_options lossy(std::size_t size)
{
    fake_network_options options;
    options.size = size;
    options.lost = 0.02;
    options.duplicated = 0.02;
    options.late = 0.02;
    return options;
}

constexpr time_ms convergence_limit = minutes(3);
} // namespace

TEST_GROUP(member_table)
{
    member_table table{entry_of("router-1", "aa", 1, 100), {}, {}, 1};
    time_ms now = seconds(10);
};

// A configuration version and a drain must reach all instances within 19 s, the limit for a fleet
// of the target size, at any fleet size.
TEST(member_table, a_version_and_a_drain_spread_within_19_s)
{
    for (const std::size_t size : {3U, 9U, 27U, 100U}) {
        fake_network network{lossy(size)};
        CHECK(network.run_until([&] { return network.all_know(static_cast<int>(size)); },
                                convergence_limit) >= 0);
        network.table(0).set_config(1, 5);
        network.table(1).set_draining();
        const auto drained = network.table(1).own().incarnation;
        const auto spread = [&](member_table& table) {
            const auto view = table.find(drained, network.now());
            return table.own().config_version == 5 &&
                   (table.own().incarnation == drained ||
                    (view && view->entry.state == member_state::draining));
        };
        CHECK(network.run_until([&] { return network.all(spread); }, seconds(19)) >= 0);
    }
}

// In a fleet of 450, running instances must not be suspected, which would drop them from address
// lists and bring them back later. A configuration version must spread within 19 s.
TEST(member_table, a_fleet_of_450_has_no_false_suspicions)
{
    auto options = lossy(450);
    options.lost = 0.01;
    fake_network network{options};
    network.run_for(seconds(45));
    for (int i = 0; i < 5; ++i) {
        network.run_for(seconds(2));
        CHECK_EQUAL(0, network.false_suspicions());
    }
    network.table(0).set_config(1, 5);
    const auto in_force = [](member_table& table) { return table.own().config_version == 5; };
    CHECK(network.run_until([&] { return network.all(in_force); }, seconds(19)) >= 0);
}

// The two sides of a partition must find each other again after an hour without contact.
TEST(member_table, a_partition_is_noticed_and_heals)
{
    fake_network network{lossy(9)};
    CHECK(network.run_until([&] { return network.all_know(9); }, convergence_limit) >= 0);
    network.split_from(4);
    network.run_for(minutes(60));
    CHECK_EQUAL(4, network.table(0).live_instances(network.now()));
    CHECK_EQUAL(5, network.table(8).live_instances(network.now()));
    network.table(0).set_config(1, 3);
    network.heal();
    const auto healed = [&](member_table& table) {
        return table.live_instances(network.now()) == 9 && table.own().config_version == 3;
    };
    CHECK(network.run_until([&] { return network.all(healed); }, minutes(1)) >= 0);
}

// A dead instance must leave the address lists.
TEST(member_table, a_dead_instance_is_suspected)
{
    fake_network network{lossy(27)};
    CHECK(network.run_until([&] { return network.all_know(27); }, convergence_limit) >= 0);
    network.kill(5);
    CHECK(network.run_until([&] { return network.all_know(26); }, seconds(30)) >= 0);
    const auto listed = make_address_list(network.table(0), network.now(), {}, 0, 100);
    CHECK_EQUAL(26U, listed.size());
}

// An instance must not have two entries after its restart.
TEST(member_table, a_restarted_instance_replaces_its_predecessor)
{
    fake_network network{lossy(9)};
    CHECK(network.run_until([&] { return network.all_know(9); }, convergence_limit) >= 0);
    const auto old = network.table(4).own().incarnation;
    network.kill(4);
    network.start(4);
    const auto replaced = [&](member_table& table) {
        return table.live_instances(network.now()) == 9 &&
               (table.own().instance == "router-4" || table.superseded(old));
    };
    CHECK(network.run_until([&] { return network.all(replaced); }, seconds(30)) >= 0);
}

// A late digest must not bring a superseded incarnation back, whatever the order of arrival.
TEST(member_table, an_outdated_incarnation_does_not_return)
{
    const auto older = entry_of("router-2", "aa", 2, 100);
    const auto newer = entry_of("router-2", "bb", 2, 200);
    table.merge(digest_with(newer), now);
    table.merge(digest_with(older), now);
    CHECK(table.superseded(older.incarnation));
    CHECK(!table.superseded(newer.incarnation));
    CHECK_EQUAL(1U, table.members(now).size());
    CHECK_EQUAL(newer.incarnation, table.members(now).front().entry.incarnation);
}

// The wall clock was set back before a restart, so the successor has the earlier start time. It
// must not be taken for the predecessor.
TEST(member_table, a_successor_with_an_earlier_clock_supersedes_its_predecessor)
{
    const auto older = entry_of("router-1", "00", 1, 900);
    table.merge(digest_with(older), now);
    CHECK_EQUAL(901, table.own().started_ms);
    member_table other{entry_of("router-3", "cc", 3, 100), {}, {}, 1};
    other.merge(digest_with(older), now);
    other.merge(table.make_digest(now), now);
    CHECK(other.superseded(older.incarnation));
    CHECK(other.find(table.own().incarnation, now).has_value());
}

// One lost message must not drop an instance from address lists, and a running instance must be
// able to refute a report that it is unreachable.
TEST(member_table, an_unreachability_report_needs_two_failures_and_is_refuted_by_a_heartbeat)
{
    const auto peer = entry_of("router-2", "bb", 2, 100);
    const auto id = id_of(peer.incarnation);
    table.merge(digest_with(peer), now);
    table.record_exchange(peer.peer_address, false, now);
    CHECK(table.make_digest(now).doubts.empty());
    table.record_exchange(peer.peer_address, false, now);
    const auto doubts = table.make_digest(now).doubts;
    CHECK_EQUAL(1U, doubts.size());

    member_table subject{peer, {}, {}, 2};
    gossip_digest received;
    received.doubts = doubts;
    subject.merge(received, now);
    CHECK(subject.own().heartbeat > doubts.front().heartbeat);
    table.merge(subject.make_digest(now), now);
    CHECK(table.make_digest(now).doubts.empty());
    CHECK_EQUAL(id, table.make_digest(now).heartbeats.front().id);
}

// The size of a digest must not grow with the fleet.
TEST(member_table, digests_are_bounded)
{
    for (int i = 2; i < 300; ++i) {
        table.merge(digest_with(entry_of("router-" + std::to_string(i), "x", i, 1)), now);
    }
    const membership_settings settings;
    const auto digest = table.make_digest(now);
    CHECK_EQUAL(settings.max_heartbeats, digest.heartbeats.size());
    CHECK(digest.details.size() <= settings.max_details);
    CHECK_EQUAL(settings.fan_out, table.begin_round(now).size());
}

// Callers must spread over the instances near them instead of crowding on one or using remote ones.
TEST(member_table, the_address_list_is_nearest_first_rotated_and_excludes_draining_instances)
{
    for (int i = 2; i <= 6; ++i) {
        auto peer = entry_of("router-" + std::to_string(i), "x", i, 1);
        peer.failure_domain = i <= 3 ? "north-a" : "north-b";
        peer.region = "north";
        peer.state = i == 6 ? member_state::draining : member_state::active;
        table.merge(digest_with(peer), now);
    }
    const caller_location caller{"north-a", "north"};
    const auto first = make_address_list(table, now, caller, 0);
    const auto second = make_address_list(table, now, caller, 1);
    CHECK_EQUAL(5U, first.size());
    CHECK_EQUAL(std::string{"router-2"}, first[0].instance);
    CHECK_EQUAL(std::string{"router-3"}, second[0].instance);
    CHECK_EQUAL(std::string{"router-2"}, second[1].instance);
    CHECK_EQUAL(std::string{"router-1"}, first[4].instance);
    CHECK(make_address_list(table, now + minutes(1), caller, 0).size() == 1);
}

// A router must find a holder of a budget it has run short of, and must not request tokens from
// one whose hint has expired.
TEST(member_table, hints_name_the_holder_of_a_requested_budget_and_expire)
{
    member_table holder{entry_of("router-2", "bb", 2, 100), {}, {}, 1};
    holder.hints().announce({{"grit", 500}, {"salt", 3}});
    table.hints().seek("grit", now);
    holder.merge(table.make_digest(now), now);
    table.merge(holder.make_digest(now), now);
    CHECK(table.holder_of("grit", now)->incarnation == holder.own().incarnation);
    CHECK(!table.holder_of("grit", now + minutes(1)));
    CHECK(!table.holder_of("sand", now));
}
