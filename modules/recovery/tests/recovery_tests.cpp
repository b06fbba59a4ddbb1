#include "budget/tests/fleet.h"
#include "recovery/recovery.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <set>

using namespace jujubevalve;
using namespace jujubevalve::testing;

TEST_GROUP(gone_evidence){};
TEST_GROUP(recovery){};

// Guards against a recovery that starts after silence alone.
TEST(gone_evidence, time_alone_proves_nothing)
{
    gone_evidence evidence{seconds(5), minutes(10)};
    evidence.watch("a-1", "a", "127.0.0.1:9", time_ms{0});
    CHECK(!evidence.is_gone("a-1", minutes(100'000)));
    CHECK(!evidence.is_gone("unknown", minutes(100'000)));
}

// Guards against an old process, another instance or another address being taken for a successor.
TEST(gone_evidence, only_a_later_answer_at_the_same_address_is_a_successor)
{
    gone_evidence evidence{seconds(5), minutes(10)};
    evidence.watch("a-1", "a", "127.0.0.1:9", seconds(10));
    evidence.successor_answered("a-2", "a", "127.0.0.1:9", seconds(10));
    evidence.successor_answered("a-2", "a", "127.0.0.1:8", seconds(11));
    evidence.successor_answered("b-2", "b", "127.0.0.1:9", seconds(11));
    evidence.successor_answered("a-1", "a", "127.0.0.1:9", seconds(11));
    CHECK(!evidence.is_gone("a-1", minutes(100)));
    evidence.successor_answered("a-2", "a", "127.0.0.1:9", seconds(11));
    CHECK(evidence.is_gone("a-1", seconds(11)));
}

// Guards against trusting a list that lags: one read, two close reads, a list that never showed
// the instance, or one that shows it again.
TEST(gone_evidence, the_list_must_lack_a_listed_instance_twice_and_requests_must_have_ended)
{
    gone_evidence evidence{seconds(5), minutes(10)};
    evidence.watch("a-1", "a", "127.0.0.1:9", time_ms{0});
    evidence.list_read({}, seconds(1), seconds(1));
    evidence.list_read({}, seconds(20), seconds(20));
    CHECK(!evidence.is_gone("a-1", minutes(60)));
    evidence.list_read({"a", "b"}, seconds(30), seconds(30));
    evidence.list_read({"b"}, seconds(40), seconds(42));
    evidence.list_read({"b"}, seconds(47), seconds(48));
    CHECK(!evidence.is_gone("a-1", minutes(60)));
    evidence.list_read({"a", "b"}, seconds(49), seconds(49));
    evidence.list_read({"b"}, seconds(50), seconds(51));
    evidence.list_read({"b"}, seconds(57), seconds(58));
    CHECK(!evidence.is_gone("a-1", minutes(10)));
    CHECK(evidence.is_gone("a-1", minutes(10) + seconds(58)));
}

namespace
{
const std::string server_name = "grit-1";

/// A backend server that remembers the keys it ran.
struct fake_server {
    std::map<std::int64_t, cancel_answer> ran;
    std::set<std::int64_t> refused;
    bool reachable{true};
};

/// A fleet with one backend server for each incarnation's requests, and recoveries of it.
struct world : fleet {
    explicit world(std::size_t size)
        : fleet{size, 10'000}
    {
    }

    std::map<std::string, fake_server> servers; ///< by incarnation that asks
    std::map<std::string, std::int64_t> next;
    std::map<std::string, std::unique_ptr<segment_writer>> writers;
    std::set<std::string> silent; ///< peers that do not answer

    void fill(node& at, token_count tokens)
    {
        at.book.reserve(budget_name, tokens, now);
        refill(at, demand_driven{minutes(5), 1});
    }

    /// Runs a request at the server; `settled` tells the router of the usage.
    void request(node& at, token_count reserved, token_count used, bool settled)
    {
        const auto name = at.book.incarnation();
        const auto made = at.book.reserve(budget_name, reserved, now);
        CHECK(static_cast<bool>(made));
        const auto n = next[name]++;
        servers[name].ran[n] = {
            true, used, {"council", fmt::format("{}-{}", name, n), budget_name, used}};
        at.used += used;
        if (settled) {
            at.book.settle(made.id, used, now);
            writer(name).add_bill(servers[name].ran[n].bill);
            return;
        }
        open_[name].push_back({server_name, n, budget_name, reserved});
    }

    void write_segment(node& at)
    {
        const auto name = at.book.incarnation();
        const auto cut = writer(name).cut(at.book.take_changed_spend(), {{server_name, next[name]}},
                                          open_[name]);
        if (cut) {
            platform.objects[segment_name(name, cut->seq)] = to_text(*cut);
            writer(name).acknowledge(cut->seq);
        }
    }

    [[nodiscard]] recovery_plan recover(const std::set<std::string>& gone) const
    {
        recovery_settings settings;
        settings.term = test_term;
        settings.servers = {{server_name, {budget_name}}};
        settings.budgets = {budget_name};
        settings.window = 8;
        return recovery_plan{gone, settings};
    }

    recovery_answer carry_out(const recovery_command& command,
                              commit_fate fate = commit_fate::answered)
    {
        return std::visit([&](const auto& what) { return answer(what, fate); }, command.what);
    }

    /// Carries out steps until nothing is left to do.
    void run(recovery_plan& plan, commit_fate fate = commit_fate::answered)
    {
        for (auto commands = plan.next(); !commands.empty(); commands = plan.next()) {
            for (const auto& command : commands) {
                plan.consume(command.id, carry_out(command, fate));
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
        auto& made = writers[name];
        if (!made) {
            made = std::make_unique<segment_writer>(name);
        }
        return *made;
    }

    recovery_answer answer(const read_rows& what, commit_fate) { return platform.read(what.keys); }
    recovery_answer answer(const scan_rows& what, commit_fate)
    {
        return platform.scan(what.prefix);
    }
    recovery_answer answer(const list_objects& what, commit_fate)
    {
        std::vector<std::string> names;
        for (const auto& [name, text] : platform.objects) {
            if (name.starts_with(what.prefix)) {
                names.push_back(name);
            }
        }
        return names;
    }
    recovery_answer answer(const get_object& what, commit_fate)
    {
        return platform.objects.at(what.name);
    }
    recovery_answer answer(const put_object& what, commit_fate)
    {
        platform.objects[what.name] = what.content;
        return std::monostate{};
    }
    recovery_answer answer(const cancel_key& what, commit_fate)
    {
        const auto incarnation = what.key.substr(0, what.key.find('.'));
        auto& server = servers[incarnation];
        if (!server.reachable) {
            return failure{result_code::backend_lost, "server " + what.server};
        }
        const auto found = server.ran.find(what.n);
        if (found == server.ran.end()) {
            server.refused.insert(what.n);
            return cancel_answer{};
        }
        return found->second;
    }
    recovery_answer answer(const ask_peer& what, commit_fate)
    {
        auto& peer = by_name(what.peer);
        if (!peer.alive || silent.contains(what.peer)) {
            return failure{result_code::peer_unreachable, what.peer};
        }
        std::vector<peer_totals> all;
        for (const auto& gone : what.gone) {
            all.push_back({gone, peer.transfers->totals_for_recovery(gone)});
        }
        return all;
    }
    recovery_answer answer(const commit_rows& what, commit_fate fate)
    {
        return platform.commit(what.change, fate);
    }

    std::map<std::string, std::vector<open_request>> open_;
};

/// Router 0 has settled 30 in a segment, has 50 open in it (used 20) and ran 7 after it.
void let_first_die(world& at)
{
    auto& dying = *at.nodes[0];
    at.fill(dying, 500);
    at.request(dying, 40, 30, true);
    at.request(dying, 50, 20, false);
    at.write_segment(dying);
    at.request(dying, 10, 7, false);
    dying.alive = false;
}
} // namespace

// Guards against giving back tokens that calls of a plain service may have consumed after the last
// segment, and against a recovery that waits for ever for a server that cannot tell.
TEST(recovery, charges_grants_for_plain_services_in_full)
{
    world at{2};
    let_first_die(at);
    const auto held = at.grant("router-0").granted;
    recovery_settings settings;
    settings.term = test_term;
    settings.plain_servers = {server_name};
    settings.charged_in_full = {budget_name};
    settings.budgets = {budget_name};
    recovery_plan plan{{"router-0"}, settings};
    at.run(plan);
    CHECK(plan.done());
    CHECK_EQUAL(held, at.grant("router-0").granted);
    CHECK(at.grant("router-0").closed);
    CHECK(at.grant("router-0").charged_in_full);
    CHECK(at.servers["router-0"].refused.empty());
}

// Guards against a search that ends before a request that ran, because the numbers before it were
// used but cancelled before they reached the server.
TEST(recovery, marked_numbers_do_not_end_the_search)
{
    world at{2};
    let_first_die(at);
    auto& server = at.servers["router-0"];
    const auto last = at.next["router-0"];
    for (std::int64_t n = last; n < last + 10; ++n) {
        server.ran[n] = cancel_answer{false, 0, {}, true};
    }
    at.next["router-0"] = last + 10;
    at.nodes[0]->alive = true;
    at.request(*at.nodes[0], 10, 9, false);
    at.nodes[0]->alive = false;
    auto plan = at.recover({"router-0"});
    at.run(plan);
    CHECK(plan.done());
    CHECK_EQUAL(66, at.grant("router-0").granted);
}

// Guards against a close that counts reservations as spend, misses requests after the last
// segment, or leaves bill entries out.
TEST(recovery, closes_at_the_exact_spend_and_completes_the_bill)
{
    world at{2};
    let_first_die(at);
    auto plan = at.recover({"router-0"});
    at.run(plan);
    CHECK(plan.done());
    CHECK_EQUAL(57, at.grant("router-0").granted);
    CHECK(at.grant("router-0").closed);
    CHECK_EQUAL(57, at.allocated());
    CHECK(at.state("router-0") == incarnation_state::closed);
    CHECK_EQUAL(57, at.read_all().billed().at(budget_name));
    CHECK_EQUAL(57, at.read_all().spent().at(budget_name));
    // Late arrivals of the next window of numbers are refused by the server.
    CHECK_EQUAL(8U, at.servers["router-0"].refused.size());
    CHECK(!at.platform.scan("audit/").empty());
}

// Guards against steps of two recoverers that undo or double each other, in any interleaving.
TEST(recovery, may_run_twice_at_the_same_time)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        world at{2};
        let_first_die(at);
        std::mt19937 random{seed};
        std::vector<recovery_plan> plans;
        plans.push_back(at.recover({"router-0"}));
        plans.push_back(at.recover({"router-0"}));
        std::vector<std::vector<recovery_command>> waiting(2);
        while (!plans[0].done() || !plans[1].done()) {
            const auto i = random() % 2;
            auto fresh = plans[i].next();
            waiting[i].insert(waiting[i].end(), fresh.begin(), fresh.end());
            if (waiting[i].empty()) {
                continue;
            }
            const auto k = static_cast<std::ptrdiff_t>(random() % waiting[i].size());
            const auto command = waiting[i][static_cast<std::size_t>(k)];
            waiting[i].erase(waiting[i].begin() + k);
            const auto fate = random() % 3 == 0 ? commit_fate::lost_after : commit_fate::answered;
            plans[i].consume(command.id, at.carry_out(command, fate));
            CHECK_EQUAL(std::string{}, at.broken());
        }
        CHECK_EQUAL(57, at.allocated());
        CHECK_EQUAL(57, at.read_all().billed().at(budget_name));
    }
}

// Guards against a close that counts an unreachable server's requests as not run.
TEST(recovery, unreachable_server_delays_the_close)
{
    world at{2};
    let_first_die(at);
    at.servers["router-0"].reachable = false;
    auto plan = at.recover({"router-0"});
    at.run(plan);
    plan.retry();
    at.run(plan);
    CHECK(!plan.done());
    CHECK(!plan.obstacles().empty());
    CHECK(!at.grant("router-0").closed);
    CHECK(at.state("router-0") == incarnation_state::recovering);
    at.servers["router-0"].reachable = true;
    plan.retry();
    at.run(plan);
    CHECK(plan.done());
    CHECK_EQUAL(57, at.allocated());
}

// Guards against a close before every peer has told what it received from the gone incarnation,
// and against tokens that are lost when only the peer knows of the transfer.
TEST(recovery, asks_peers_for_transfers_and_waits_for_them)
{
    world at{2};
    let_first_die(at);
    const auto message = *at.nodes[0]->transfers->send("router-1", budget_name, 100);
    const auto late = *at.nodes[0]->transfers->send("router-1", budget_name, 30);
    at.deliver(*at.nodes[1], message);
    at.silent.insert("router-1");
    auto plan = at.recover({"router-0"});
    at.run(plan);
    CHECK(plan.unreachable_peers() == std::set<std::string>{"router-1"});
    CHECK(!at.grant("router-0").closed);
    at.silent.clear();
    plan.retry();
    at.run(plan);
    CHECK(plan.done());
    CHECK_EQUAL(157, at.grant("router-0").granted);
    CHECK_EQUAL(100, at.grant("router-1").received.at("router-0"));
    // The late message is refused, although the receiver is alive.
    CHECK(*at.nodes[1]->transfers->receive(late, at.now) == transfer_answer::refused);
    CHECK_EQUAL(100, at.nodes[1]->book.available(budget_name));
}

// Guards against giving tokens back twice: a live sender's debit for a gone receiver is returned
// by the receiver's close, so the sender must not take it back.
TEST(recovery, returns_transfers_that_a_gone_receiver_never_saw)
{
    world at{2};
    let_first_die(at);
    at.fill(*at.nodes[1], 300);
    const auto before = at.nodes[1]->book.available(budget_name);
    const auto lost = *at.nodes[1]->transfers->send("router-0", budget_name, 80);
    auto plan = at.recover({"router-0"});
    at.run(plan);
    CHECK(plan.done());
    CHECK_EQUAL(57 - 80, at.grant("router-0").granted);
    at.nodes[1]->transfers->take_back("router-0", lost.n);
    CHECK_EQUAL(before - 80, at.nodes[1]->book.available(budget_name));
    CHECK_EQUAL(80, at.grant("router-1").sent.at("router-0"));
}

// Guards against closing one of two dead incarnations alone when only they know that the other
// spends its tokens.
TEST(recovery, closes_a_group_whose_transfers_nobody_alive_knows)
{
    world at{3};
    let_first_die(at);
    at.deliver(*at.nodes[1], *at.nodes[0]->transfers->send("router-1", budget_name, 200));
    at.request(*at.nodes[1], 150, 150, false);
    at.nodes[1]->alive = false;
    auto alone = at.recover({"router-0"});
    at.run(alone);
    CHECK(!alone.done());
    auto both = at.recover({"router-0", "router-1"});
    at.run(both);
    CHECK(both.done());
    CHECK_EQUAL(57 + 150, at.allocated());
    alone.retry();
    at.run(alone);
    CHECK(alone.done());
    CHECK_EQUAL(57 + 150, at.allocated());
}

// Guards against a closed incarnation that comes back and goes on: it must stop at its next
// contact with the platform, and nothing that it planned earlier may be written.
TEST(recovery, a_closed_incarnation_that_comes_back_stops)
{
    world at{2};
    let_first_die(at);
    auto& back = *at.nodes[0];
    back.book.reserve(budget_name, 600, at.now);
    at.now = at.now + seconds(10);
    at.refill(back, demand_driven{minutes(5), 1}, commit_fate::answered, true);
    CHECK(back.unsent.has_value());
    auto plan = at.recover({"router-0"});
    at.run(plan);
    CHECK(plan.done());
    at.send(back, commit_fate::answered);
    CHECK_EQUAL(57, at.allocated());
    at.now = at.now + seconds(10);
    back.book.note_shortage_elsewhere(budget_name, at.now);
    at.refill(back, demand_driven{minutes(5), 1});
    CHECK(back.book.is_stopped());
    CHECK(back.book.reserve(budget_name, 1, at.now).code == result_code::stopped);
}

// Guards against writes of an old operator's recovery after the handover.
TEST(recovery, ends_when_the_term_changes)
{
    world at{2};
    let_first_die(at);
    at.platform.put("term", encode(term_row{test_term + 1, "next"}));
    auto plan = at.recover({"router-0"});
    at.run(plan);
    plan.retry();
    at.run(plan);
    CHECK(plan.obstacles().front().code == result_code::term_fenced);
    CHECK(at.state("router-0") == incarnation_state::active);
}

// Guards against a ledger that differs from its grants after random top-ups of live instances and
// lost answers while a recovery runs.
TEST(recovery, runs_beside_refills_with_lost_answers)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        world at{3};
        let_first_die(at);
        std::mt19937 random{seed};
        auto plan = at.recover({"router-0"});
        for (int step = 0; step < 400 && !plan.done(); ++step) {
            for (const auto& command : plan.next()) {
                const auto fate = static_cast<commit_fate>(random() % 5);
                plan.consume(command.id, at.carry_out(command, fate));
                CHECK_EQUAL(std::string{}, at.broken());
            }
            auto& live = *at.nodes[1 + random() % 2];
            at.now = at.now + seconds(3);
            at.reserve(live, static_cast<token_count>(random() % 300));
            at.refill(live, demand_driven{minutes(5), 1}, static_cast<commit_fate>(random() % 5));
            CHECK_EQUAL(std::string{}, at.broken());
            if (random() % 5 == 0) {
                at.platform.flush_late();
            }
            plan.retry();
        }
        CHECK(plan.done());
        CHECK_EQUAL(57, at.grant("router-0").granted);
    }
}
