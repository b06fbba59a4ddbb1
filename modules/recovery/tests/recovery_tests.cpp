#include "budget/tests/fleet.h"
#include "recovery/recovery.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <set>

using namespace jujubevalve;
using namespace jujubevalve::testing;

TEST_GROUP(termination_proof){};
TEST_GROUP(recovery){};

// Guards against a recovery that starts only because an incarnation has not been seen for long.
TEST(termination_proof, elapsed_time_alone_is_no_proof)
{
    termination_proof evidence{seconds(5), minutes(10)};
    evidence.watch("a-1", "a", "127.0.0.1:9", time_ms{0});
    CHECK(!evidence.is_terminated("a-1", minutes(100'000)));
    CHECK(!evidence.is_terminated("unknown", minutes(100'000)));
}

// Guards against taking an older connection, another instance, another address or the incarnation
// itself for a successor.
TEST(termination_proof, only_a_later_connection_to_the_same_address_proves_a_successor)
{
    termination_proof evidence{seconds(5), minutes(10)};
    evidence.watch("a-1", "a", "127.0.0.1:9", seconds(10));
    evidence.record_successor("a-2", "a", "127.0.0.1:9", seconds(10));
    evidence.record_successor("a-2", "a", "127.0.0.1:8", seconds(11));
    evidence.record_successor("b-2", "b", "127.0.0.1:9", seconds(11));
    evidence.record_successor("a-1", "a", "127.0.0.1:9", seconds(11));
    CHECK(!evidence.is_terminated("a-1", minutes(100)));
    evidence.record_successor("a-2", "a", "127.0.0.1:9", seconds(11));
    CHECK(evidence.is_terminated("a-1", seconds(11)));
}

// Guards against proof from a stale instance list: a list that never contained the instance, two
// reads within the list lag, or an instance that is listed again.
TEST(termination_proof, needs_two_lists_without_the_instance_and_the_max_request_duration)
{
    termination_proof evidence{seconds(5), minutes(10)};
    evidence.watch("a-1", "a", "127.0.0.1:9", time_ms{0});
    evidence.list_read({}, seconds(1), seconds(1));
    evidence.list_read({}, seconds(20), seconds(20));
    CHECK(!evidence.is_terminated("a-1", minutes(60)));
    evidence.list_read({"a", "b"}, seconds(30), seconds(30));
    evidence.list_read({"b"}, seconds(40), seconds(42));
    evidence.list_read({"b"}, seconds(47), seconds(48));
    CHECK(!evidence.is_terminated("a-1", minutes(60)));
    evidence.list_read({"a", "b"}, seconds(49), seconds(49));
    evidence.list_read({"b"}, seconds(50), seconds(51));
    evidence.list_read({"b"}, seconds(57), seconds(58));
    CHECK(!evidence.is_terminated("a-1", minutes(10)));
    CHECK(evidence.is_terminated("a-1", minutes(10) + seconds(58)));
}

namespace
{
const std::string server_name = "grit-1";

/// A backend server that records the request keys it has seen.
struct fake_server {
    std::map<std::int64_t, cancel_answer> records; ///< by request number
    std::set<std::int64_t> refused;
    bool reachable{true};
};

/// A fleet with one backend server per incarnation, whose incarnations can be recovered.
struct recovery_cluster : fleet {
    explicit recovery_cluster(std::size_t size)
        : fleet{size, 10'000}
    {
    }

    std::map<std::string, fake_server> servers;       ///< by incarnation that sends requests
    std::map<std::string, std::int64_t> next_numbers; ///< next request number by incarnation
    std::map<std::string, std::unique_ptr<segment_writer>> writers;
    std::set<std::string> unresponsive_peers;

    /// Obtains a grant that covers at least `tokens`.
    void obtain_grant(node& router, token_count tokens)
    {
        router.book.reserve(budget_name, tokens, now);
        refill(router, demand_driven{minutes(5), 1});
    }

    /// Runs a request at the server. If `settled`, the router receives the usage and settles it.
    void request(node& router, token_count reserved, token_count used, bool settled)
    {
        const auto name = router.book.incarnation();
        const auto reservation = router.book.reserve(budget_name, reserved, now);
        CHECK(static_cast<bool>(reservation));
        const auto n = next_numbers[name]++;
        servers[name].records[n] = {
            true, used, {"council", fmt::format("{}-{}", name, n), budget_name, used}};
        router.used += used;
        if (settled) {
            router.book.settle(reservation.id, used, now);
            writer(name).add_bill(servers[name].records[n].bill);
            return;
        }
        open_requests_[name].push_back({server_name, n, budget_name, reserved});
    }

    void write_segment(node& router)
    {
        const auto name = router.book.incarnation();
        const auto cut =
            writer(name).cut(router.book.take_changed_spend(), {{server_name, next_numbers[name]}},
                             open_requests_[name]);
        if (cut) {
            platform.objects[segment_name(name, cut->seq)] = to_text(*cut);
            writer(name).acknowledge(cut->seq);
        }
    }

    [[nodiscard]] recovery_plan recover(const std::set<std::string>& terminated) const
    {
        recovery_settings settings;
        settings.term = test_term;
        settings.servers = {{server_name, {budget_name}}};
        settings.budgets = {budget_name};
        settings.window = 8;
        return recovery_plan{terminated, settings};
    }

    recovery_answer execute(const recovery_command& command,
                            commit_fate fate = commit_fate::answered)
    {
        return std::visit([&](const auto& action) { return answer(action, fate); }, command.what);
    }

    /// Executes commands until the plan returns none, and checks the invariants after each.
    void run_until_blocked(recovery_plan& plan, commit_fate fate = commit_fate::answered)
    {
        for (auto commands = plan.next(); !commands.empty(); commands = plan.next()) {
            for (const auto& command : commands) {
                plan.consume(command.id, execute(command, fate));
                CHECK_EQUAL(std::string{}, broken());
            }
        }
    }

    [[nodiscard]] segment_reader read_all() const
    {
        segment_reader reader;
        for (const auto& [name, text] : platform.objects) {
            reader.add(*parse_segment(text));
        }
        return reader;
    }

    [[nodiscard]] grant_row grant(const std::string& name) const
    {
        return *parse_grant_row(platform.value(grant_key(budget_name, name)));
    }

    [[nodiscard]] incarnation_state state(const std::string& name) const
    {
        return parse_instance_row(platform.value(instance_key(name)))->state;
    }

private:
    segment_writer& writer(const std::string& name)
    {
        auto& entry = writers[name];
        if (!entry) {
            entry = std::make_unique<segment_writer>(name);
        }
        return *entry;
    }

    recovery_answer answer(const read_rows& command, commit_fate)
    {
        return platform.read(command.keys);
    }
    recovery_answer answer(const scan_rows& command, commit_fate)
    {
        return platform.scan(command.prefix);
    }
    recovery_answer answer(const list_objects& command, commit_fate)
    {
        std::vector<std::string> names;
        for (const auto& [name, text] : platform.objects) {
            if (name.starts_with(command.prefix)) {
                names.push_back(name);
            }
        }
        return names;
    }
    recovery_answer answer(const get_object& command, commit_fate)
    {
        return platform.objects.at(command.name);
    }
    recovery_answer answer(const put_object& command, commit_fate)
    {
        platform.objects[command.name] = command.content;
        return std::monostate{};
    }
    recovery_answer answer(const cancel_key& command, commit_fate)
    {
        const auto incarnation = command.key.substr(0, command.key.find('.'));
        auto& server = servers[incarnation];
        if (!server.reachable) {
            return failure{result_code::backend_lost, "server " + command.server};
        }
        const auto found = server.records.find(command.number);
        if (found == server.records.end()) {
            server.refused.insert(command.number);
            return cancel_answer{};
        }
        return found->second;
    }
    recovery_answer answer(const query_peer& command, commit_fate)
    {
        auto& peer = by_name(command.peer);
        if (!peer.alive || unresponsive_peers.contains(command.peer)) {
            return failure{result_code::peer_unreachable, command.peer};
        }
        std::vector<peer_totals> totals;
        for (const auto& gone : command.gone) {
            totals.push_back({gone, peer.transfers->totals_for_recovery(gone)});
        }
        return totals;
    }
    recovery_answer answer(const commit_rows& command, commit_fate fate)
    {
        return platform.commit(command.change, fate);
    }

    std::map<std::string, std::vector<open_request>> open_requests_;
};

/// Terminates router 0. Its segment contains a settled request (30 tokens used) and an open one (50
/// reserved, 20 used); it ran another request (7 used) after the segment.
void terminate_first_router(recovery_cluster& cluster)
{
    auto& router = *cluster.nodes[0];
    cluster.obtain_grant(router, 500);
    cluster.request(router, 40, 30, true);
    cluster.request(router, 50, 20, false);
    cluster.write_segment(router);
    cluster.request(router, 10, 7, false);
    router.alive = false;
}
} // namespace

// Guards against returning tokens that calls to a plain service may have used after the last
// segment, and against waiting forever for a server that cannot report which calls it ran.
TEST(recovery, charges_grants_for_plain_services_in_full)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    const auto granted_before = cluster.grant("router-0").granted;
    recovery_settings settings;
    settings.term = test_term;
    settings.plain_servers = {server_name};
    settings.charged_in_full = {budget_name};
    settings.budgets = {budget_name};
    recovery_plan plan{{"router-0"}, settings};
    cluster.run_until_blocked(plan);
    CHECK(plan.done());
    CHECK_EQUAL(granted_before, cluster.grant("router-0").granted);
    CHECK(cluster.grant("router-0").closed);
    CHECK(cluster.grant("router-0").charged_in_full);
    CHECK(cluster.servers["router-0"].refused.empty());
}

// Guards against missing an executed request that follows a full window of numbers whose requests
// were cancelled before they reached the server.
TEST(recovery, search_continues_past_marked_numbers)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    auto& server = cluster.servers["router-0"];
    const auto last = cluster.next_numbers["router-0"];
    for (std::int64_t n = last; n < last + 10; ++n) {
        server.records[n] = cancel_answer{false, 0, {}, true};
    }
    cluster.next_numbers["router-0"] = last + 10;
    cluster.nodes[0]->alive = true;
    cluster.request(*cluster.nodes[0], 10, 9, false);
    cluster.nodes[0]->alive = false;
    auto plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(plan);
    CHECK(plan.done());
    CHECK_EQUAL(66, cluster.grant("router-0").granted);
}

// Guards against a recovery that counts reservations as spend, misses requests after the last
// segment, or omits bill entries.
TEST(recovery, reclaims_at_the_exact_spend_and_completes_the_bill)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    auto plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(plan);
    CHECK(plan.done());
    CHECK_EQUAL(57, cluster.grant("router-0").granted);
    CHECK(cluster.grant("router-0").closed);
    CHECK_EQUAL(57, cluster.allocated());
    CHECK(cluster.state("router-0") == incarnation_state::closed);
    CHECK_EQUAL(57, cluster.read_all().billed().at(budget_name));
    CHECK_EQUAL(57, cluster.read_all().spent().at(budget_name));
    // The server refuses late requests in the window after the last used number.
    CHECK_EQUAL(8U, cluster.servers["router-0"].refused.size());
    CHECK(!cluster.platform.scan("audit/").empty());
}

// Guards against two concurrent recoveries that undo or repeat each other's steps, in random order
// and with lost acknowledgements.
TEST(recovery, two_recoveries_run_concurrently)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        recovery_cluster cluster{2};
        terminate_first_router(cluster);
        std::mt19937 random{seed};
        std::vector<recovery_plan> plans;
        plans.push_back(cluster.recover({"router-0"}));
        plans.push_back(cluster.recover({"router-0"}));
        std::vector<std::vector<recovery_command>> pending(2);
        while (!plans[0].done() || !plans[1].done()) {
            const auto i = random() % 2;
            auto commands = plans[i].next();
            pending[i].insert(pending[i].end(), commands.begin(), commands.end());
            if (pending[i].empty()) {
                continue;
            }
            const auto k = static_cast<std::ptrdiff_t>(random() % pending[i].size());
            const auto command = pending[i][static_cast<std::size_t>(k)];
            pending[i].erase(pending[i].begin() + k);
            const auto fate = random() % 3 == 0 ? commit_fate::lost_after : commit_fate::answered;
            plans[i].consume(command.id, cluster.execute(command, fate));
            CHECK_EQUAL(std::string{}, cluster.broken());
        }
        CHECK_EQUAL(57, cluster.allocated());
        CHECK_EQUAL(57, cluster.read_all().billed().at(budget_name));
    }
}

// Guards against treating requests at an unreachable server as not executed.
TEST(recovery, unreachable_server_delays_the_reclaim)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    cluster.servers["router-0"].reachable = false;
    auto plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(plan);
    plan.retry();
    cluster.run_until_blocked(plan);
    CHECK(!plan.done());
    CHECK(!plan.obstacles().empty());
    CHECK(!cluster.grant("router-0").closed);
    CHECK(cluster.state("router-0") == incarnation_state::recovering);
    cluster.servers["router-0"].reachable = true;
    plan.retry();
    cluster.run_until_blocked(plan);
    CHECK(plan.done());
    CHECK_EQUAL(57, cluster.allocated());
}

// Guards against reclaiming grants before every peer has reported its transfers with the terminated
// incarnation, and against losing tokens of a transfer that only the peer knows of.
TEST(recovery, requests_transfer_totals_from_all_peers)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    const auto message = *cluster.nodes[0]->transfers->send("router-1", budget_name, 100);
    const auto late_message = *cluster.nodes[0]->transfers->send("router-1", budget_name, 30);
    cluster.deliver(*cluster.nodes[1], message);
    cluster.unresponsive_peers.insert("router-1");
    auto plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(plan);
    CHECK(plan.unreachable_peers() == std::set<std::string>{"router-1"});
    CHECK(!cluster.grant("router-0").closed);
    cluster.unresponsive_peers.clear();
    plan.retry();
    cluster.run_until_blocked(plan);
    CHECK(plan.done());
    CHECK_EQUAL(157, cluster.grant("router-0").granted);
    CHECK_EQUAL(100, cluster.grant("router-1").received.at("router-0"));
    // The live receiver refuses a transfer message that arrives after it reported its totals.
    CHECK(*cluster.nodes[1]->transfers->receive(late_message, cluster.now) ==
          transfer_response::refused);
    CHECK_EQUAL(100, cluster.nodes[1]->book.available(budget_name));
}

// Guards against returning tokens twice: closing the grant of a terminated receiver returns the
// tokens that a live sender debited, so the sender must not take them back.
TEST(recovery, returns_transfers_that_a_terminated_receiver_never_received)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    cluster.obtain_grant(*cluster.nodes[1], 300);
    const auto before = cluster.nodes[1]->book.available(budget_name);
    const auto lost_message = *cluster.nodes[1]->transfers->send("router-0", budget_name, 80);
    auto plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(plan);
    CHECK(plan.done());
    CHECK_EQUAL(57 - 80, cluster.grant("router-0").granted);
    cluster.nodes[1]->transfers->take_back("router-0", lost_message.n);
    CHECK_EQUAL(before - 80, cluster.nodes[1]->book.available(budget_name));
    CHECK_EQUAL(80, cluster.grant("router-1").sent.at("router-0"));
}

// Guards against recovering one of two terminated incarnations alone, although the other one spent
// tokens transferred between them and no live incarnation knows of the transfer.
TEST(recovery, recovers_a_group_with_transfers_unknown_to_live_incarnations)
{
    recovery_cluster cluster{3};
    terminate_first_router(cluster);
    cluster.deliver(*cluster.nodes[1],
                    *cluster.nodes[0]->transfers->send("router-1", budget_name, 200));
    cluster.request(*cluster.nodes[1], 150, 150, false);
    cluster.nodes[1]->alive = false;
    auto single_plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(single_plan);
    CHECK(!single_plan.done());
    auto group_plan = cluster.recover({"router-0", "router-1"});
    cluster.run_until_blocked(group_plan);
    CHECK(group_plan.done());
    CHECK_EQUAL(57 + 150, cluster.allocated());
    single_plan.retry();
    cluster.run_until_blocked(single_plan);
    CHECK(single_plan.done());
    CHECK_EQUAL(57 + 150, cluster.allocated());
}

// Guards against a paused incarnation that resumes after its grants were closed: a refill planned
// before the pause must not be committed, and the next contact with the platform must stop it.
TEST(recovery, resumed_incarnation_stops_after_its_grants_were_closed)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    auto& resumed = *cluster.nodes[0];
    resumed.book.reserve(budget_name, 600, cluster.now);
    cluster.now = cluster.now + seconds(10);
    cluster.refill(resumed, demand_driven{minutes(5), 1}, commit_fate::answered, true);
    CHECK(resumed.unsent.has_value());
    auto plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(plan);
    CHECK(plan.done());
    cluster.send(resumed, commit_fate::answered);
    CHECK_EQUAL(57, cluster.allocated());
    cluster.now = cluster.now + seconds(10);
    resumed.book.record_peer_shortage(budget_name, cluster.now);
    cluster.refill(resumed, demand_driven{minutes(5), 1});
    CHECK(resumed.book.is_stopped());
    CHECK(resumed.book.reserve(budget_name, 1, cluster.now).code == result_code::stopped);
}

// Guards against writes by a previous operator's recovery after the handover.
TEST(recovery, ends_when_the_term_changes)
{
    recovery_cluster cluster{2};
    terminate_first_router(cluster);
    cluster.platform.put("term", encode(term_row{test_term + 1, "next"}));
    auto plan = cluster.recover({"router-0"});
    cluster.run_until_blocked(plan);
    plan.retry();
    cluster.run_until_blocked(plan);
    CHECK(plan.obstacles().front().code == result_code::term_fenced);
    CHECK(cluster.state("router-0") == incarnation_state::active);
}

// Guards against a ledger that differs from the sum of its grants when live incarnations refill
// during a recovery and commits fail or lose their acknowledgements.
TEST(recovery, runs_concurrently_with_refills_and_lost_acknowledgements)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        recovery_cluster cluster{3};
        terminate_first_router(cluster);
        std::mt19937 random{seed};
        auto plan = cluster.recover({"router-0"});
        for (int step = 0; step < 400 && !plan.done(); ++step) {
            for (const auto& command : plan.next()) {
                const auto fate = static_cast<commit_fate>(random() % 5);
                plan.consume(command.id, cluster.execute(command, fate));
                CHECK_EQUAL(std::string{}, cluster.broken());
            }
            auto& live = *cluster.nodes[1 + random() % 2];
            cluster.now = cluster.now + seconds(3);
            cluster.reserve(live, static_cast<token_count>(random() % 300));
            cluster.refill(live, demand_driven{minutes(5), 1},
                           static_cast<commit_fate>(random() % 5));
            CHECK_EQUAL(std::string{}, cluster.broken());
            if (random() % 5 == 0) {
                cluster.platform.flush_late();
            }
            plan.retry();
        }
        CHECK(plan.done());
        CHECK_EQUAL(57, cluster.grant("router-0").granted);
    }
}
