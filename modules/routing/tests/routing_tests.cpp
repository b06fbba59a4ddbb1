#include "core/digest.h"
#include "routing/routing.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <fmt/core.h>
#include <map>
#include <set>

using namespace jujubevalve;

namespace
{
std::vector<backend_server> make_servers(int count)
{
    std::vector<backend_server> rows;
    for (int i = 0; i < count; ++i) {
        rows.push_back({fmt::format("grit-{}", i), fmt::format("10.0.0.{}:80", i), "a", 4, false});
    }
    return rows;
}
} // namespace

TEST_GROUP(matching)
{
    std::shared_ptr<const config_snapshot> snapshot = std::make_shared<const config_snapshot>(
        1, 1,
        config_snapshot::route_table{
            {"r", {"r", "clerks", sha256_hex("key"), "grit", "p"}},
            {"calls", {"calls", "clerks", sha256_hex("key"), "orders", "p"}},
            {"empty", {"empty", "clerks", sha256_hex("key"), "none", "e"}}},
        config_snapshot::pool_table{
            {"p", {"p", service_kind::engine, "shared"}},
            {"shared", {"shared", service_kind::engine, "", make_servers(2)}},
            {"e", {"e", service_kind::engine}}});
    route_matcher matcher{snapshot};

    result_code code_of(std::string_view key, std::string_view kind, service_kind service) const
    {
        const auto target = matcher.match(key, kind, service);
        return target ? result_code::ok : target.error().code;
    }
};

TEST(matching, finds_account_route_pool_and_servers)
{
    const auto target = matcher.match(route_matcher::bearer_key_from_header("Bearer key"), "grit",
                                      service_kind::engine);
    CHECK(target.has_value());
    CHECK_EQUAL(std::string{"clerks"}, target->account);
    CHECK_EQUAL(std::string{"r"}, target->route_row->name);
    CHECK_EQUAL(std::string{"shared"}, target->server_set);
}

// The result code of a refusal must tell the caller what to change in the request.
TEST(matching, each_refusal_has_its_result_code)
{
    CHECK(code_of("wrong", "grit", service_kind::engine) == result_code::unauthenticated);
    CHECK(code_of("", "grit", service_kind::engine) == result_code::unauthenticated);
    CHECK(code_of("key", "other", service_kind::engine) == result_code::unknown_route);
    CHECK(code_of("key", "orders", service_kind::plain) == result_code::unknown_route);
    CHECK(code_of("key", "none", service_kind::engine) == result_code::no_backend_server);
    CHECK(route_matcher::bearer_key_from_header("Basic key").empty());
}

TEST_GROUP(selection)
{
    time_ms now{1000};
    backend_selector selector{7};

    void setup() override
    {
        selector.servers().set_servers(make_servers(8));
    }

    std::string choose(std::string_view prompt = "p", std::vector<std::string> tried = {})
    {
        const auto choice = selector.choose({prompt, true, std::move(tried)}, now);
        return choice ? choice->name : std::string{};
    }
    std::set<std::string> choose_many(int draws)
    {
        std::set<std::string> names;
        for (int i = 0; i < draws; ++i) {
            names.insert(choose(std::to_string(i)));
        }
        return names;
    }
    void finish(const std::string& server, backend_selector::ending outcome)
    {
        selector.finished(server, outcome, now);
    }
};

// Requirement G6: each source alone (table, instance list, load report) must stop new requests to a
// leaving server at once.
TEST(selection, each_source_that_marks_a_server_leaving_stops_new_requests)
{
    auto rows = make_servers(8);
    rows[0].leaving = true;
    selector.servers().set_servers(rows);
    selector.servers().set_listed_leaving("grit-1", true);
    selector.servers().set_report("grit-2", {0, 0, true, now});
    const auto names = choose_many(400);
    CHECK_EQUAL(5U, names.size());
    CHECK(!names.contains("grit-0") && !names.contains("grit-1") && !names.contains("grit-2"));
    // A report without the mark does not override the mark in the instance list.
    selector.servers().set_report("grit-1", {0, 0, false, now});
    CHECK(!choose_many(400).contains("grit-1"));
    // An older report that arrives late is ignored.
    selector.servers().set_report("grit-2", {0, 0, false, now - time_ms{1}});
    CHECK(!choose_many(400).contains("grit-2"));
}

TEST(selection, equal_prompts_go_to_one_server_until_its_load_exceeds_the_bound)
{
    for (int i = 0; i < 8; ++i) {
        selector.servers().set_report(fmt::format("grit-{}", i), {2, 0, false, now});
    }
    const auto preferred = choose("same prompt");
    finish(preferred, backend_selector::ending::succeeded);
    CHECK_EQUAL(preferred, choose("same prompt"));
    finish(preferred, backend_selector::ending::succeeded);
    selector.servers().set_report(preferred, {8, 0, false, now});
    CHECK(choose("same prompt") != preferred);
    // The preferred server stays the same when another server leaves.
    selector.servers().set_report(preferred, {2, 0, false, now});
    selector.servers().set_listed_leaving(preferred == "grit-0" ? "grit-1" : "grit-0", true);
    CHECK_EQUAL(preferred, choose("same prompt"));
}

TEST(selection, tried_servers_are_not_chosen_again)
{
    std::vector<std::string> tried;
    for (int i = 0; i < 8; ++i) {
        const auto name = choose("p", tried);
        CHECK(!name.empty());
        tried.push_back(name);
    }
    CHECK(choose("p", tried).empty());
    CHECK_EQUAL(8U, std::set<std::string>(tried.begin(), tried.end()).size());
}

// A suspected server must get probe requests only, one at a time, and must be chosen normally again
// after a successful probe.
TEST(selection, suspects_after_failures_and_probes_with_one_request)
{
    selector.servers().set_servers(make_servers(2));
    for (int i = 0; i < 3; ++i) {
        selector.servers().add_in_flight(0);
        finish("grit-0", backend_selector::ending::failed);
    }
    CHECK(choose_many(100) == std::set<std::string>{"grit-1"});
    now = now + time_ms{2000};
    // A request that is not idempotent is not used as a probe of a suspected server.
    CHECK(selector.choose({"p", false, {}}, now)->name == "grit-1");
    const auto probe = selector.choose({"p", true, {}}, now);
    CHECK(probe->probe && probe->name == "grit-0");
    CHECK_EQUAL(std::string{"grit-1"}, choose());
    finish("grit-0", backend_selector::ending::failed);
    now = now + time_ms{3999};
    CHECK_EQUAL(std::string{"grit-1"}, choose());
    now = now + time_ms{1};
    CHECK_EQUAL(std::string{"grit-0"}, choose());
    finish("grit-0", backend_selector::ending::neutral);
    now = now + time_ms{4000};
    CHECK_EQUAL(std::string{"grit-0"}, choose());
    finish("grit-0", backend_selector::ending::succeeded);
    CHECK(choose_many(100).size() == 2);
}

// A new server list changes the indices of the servers. Each server must keep its state, and the
// probe must go to the suspected server and not to the one that now has its old index.
TEST(selection, list_changes_keep_the_state_of_servers)
{
    for (int i = 0; i < 3; ++i) {
        selector.servers().record_failure(7, now);
    }
    selector.servers().add_in_flight(6);
    auto rows = make_servers(8);
    rows.erase(rows.begin());
    selector.servers().set_servers(rows);
    const auto moved = *selector.servers().find("grit-7");
    CHECK(selector.servers().breaker(moved) == breaker_state::open);
    CHECK(!choose_many(200).contains("grit-7") && !choose_many(200).contains("grit-0"));
    CHECK(selector.servers().own_in_flight(*selector.servers().find("grit-6")) >= 1);
    finish("grit-0", backend_selector::ending::failed);
    now = now + time_ms{2000};
    CHECK_EQUAL(std::string{"grit-7"}, choose());
}

// mean_load() uses sums that are updated with each change; they must equal a scan of all
// candidates.
TEST(selection, the_mean_load_equals_a_scan)
{
    constexpr unsigned seed = 5;
    selector_random random{seed};
    const auto weight = server_set_options{}.own_in_flight_weight;
    auto& servers = selector.servers();
    std::map<server_index, std::pair<int, int>> model; // reported requests, own requests in flight
    for (int step = 0; step < 5000; ++step) {
        const auto server = static_cast<server_index>(random() % 8);
        const auto name = fmt::format("grit-{}", server);
        if (random() % 3 == 0) {
            const auto running = static_cast<int>(random() % 9);
            servers.set_report(name, {running, 0, random() % 4 == 0, now});
            model[server].first = running;
        } else {
            servers.add_in_flight(server);
            ++model[server].second;
        }
        double sum = 0;
        for (const auto candidate : servers.candidates()) {
            sum += model[candidate].first + weight * model[candidate].second;
        }
        const auto slots = static_cast<double>(servers.slots());
        DOUBLES_EQUAL(slots == 0 ? 0 : sum / slots, servers.mean_load(), 1e-9);
    }
}

// The cost of a choice must not grow with the number of servers (section 1.4). Prints the cost.
TEST(selection, chooses_among_2500_servers)
{
    selector.servers().set_servers(make_servers(2500));
    constexpr int count = 200'000;
    for (const auto* const phase : {"first use of the affinity buckets", "later"}) {
        const auto before = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i) {
            const auto choice = selector.choose({std::to_string(i % 20'000), true, {}}, now);
            selector.finished(choice->name, backend_selector::ending::succeeded, now);
        }
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - before;
        UT_PRINT(fmt::format("{}: {:.2f} us per choice", phase, elapsed.count() / count).c_str());
    }
    CHECK_EQUAL(2500U, selector.servers().candidates().size());
}

TEST_GROUP(admission)
{
    time_ms now{};
    std::uint64_t last_id = 0;
    admission_queue queue{{10, 100}};

    admission_change offer(const std::string& account, token_count cost = 100, int priority = 0)
    {
        return queue.offer({++last_id, account, cost, priority, now + seconds(10)}, now);
    }
};

TEST(admission, share_is_the_slots_of_the_pool_divided_by_the_instances)
{
    queue.set_share(9, 4, now);
    CHECK_EQUAL(2U, queue.share());
    queue.set_share(1, 4, now);
    CHECK_EQUAL(1U, queue.share());
    CHECK_EQUAL(1U, offer("a").admitted.size());
    CHECK(offer("a").admitted.empty());
    CHECK_EQUAL(1U, queue.set_share(2, 1, now).admitted.size());
    CHECK(queue.release(1, now).admitted.empty());
}

// A large account must not starve a small one, even if all its requests arrived first.
TEST(admission, a_large_account_does_not_starve_a_small_one)
{
    admission_queue long_queue{{1000, 100}};
    std::map<std::uint64_t, std::string> account_of;
    std::uint64_t id = 0;
    for (int i = 0; i < 500; ++i) {
        account_of[++id] = "large";
        long_queue.offer({id, "large", 400, 0, seconds(1000)}, now);
    }
    for (int i = 0; i < 10; ++i) {
        account_of[++id] = "small";
        long_queue.offer({id, "small", 100, 0, seconds(1000)}, now);
    }
    int large_admitted = 0;
    int small = 0;
    std::uint64_t running = 1;
    while (small < 10) {
        const auto change = long_queue.release(running, now);
        CHECK_EQUAL(1U, change.admitted.size());
        running = change.admitted.front();
        account_of[running] == "small" ? ++small : ++large_admitted;
    }
    // While 10 small requests of 100 tokens are admitted, the large account gets about as many
    // tokens, which are 2 to 3 of its requests of 400 tokens.
    CHECK(large_admitted <= 3);
}

TEST(admission, a_full_queue_refuses_a_request_of_the_account_with_the_most_waiting)
{
    offer("large");
    for (int i = 0; i < 10; ++i) {
        CHECK(offer("large").refused.empty());
    }
    const auto newest = offer("large");
    CHECK(newest.refused.front().id == last_id);
    CHECK(newest.refused.front().error.code == result_code::overloaded);
    CHECK(newest.refused.front().retry_after >= seconds(1));
    const auto evicting = offer("small");
    CHECK_EQUAL(1U, evicting.refused.size());
    CHECK_EQUAL(11U, evicting.refused.front().id);
    CHECK_EQUAL(10U, queue.waiting());
}

TEST(admission, refuses_at_the_deadline_and_cancels_waiting_requests)
{
    offer("a");
    offer("a");
    offer("b");
    CHECK(queue.cancel(2));
    CHECK(!queue.cancel(2));
    now = seconds(10);
    const auto change = queue.expire(now);
    CHECK_EQUAL(1U, change.refused.size());
    CHECK_EQUAL(3U, change.refused.front().id);
    CHECK_EQUAL(0U, queue.waiting());
    CHECK_EQUAL(1U, queue.running());
}

TEST(admission, priority_orders_within_an_account)
{
    offer("a");
    offer("a", 100, 0);
    offer("a", 100, 5);
    CHECK_EQUAL(3U, queue.release(1, now).admitted.front());
}

// Over random sequences of operations, each request must be admitted or refused at most once and
// no slot may be lost or used twice.
TEST(admission, random_sequences_neither_lose_nor_double_requests)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        selector_random random{seed};
        admission_queue queue_under_test{{5, 100}};
        std::set<std::uint64_t> waiting;
        std::set<std::uint64_t> running;
        const auto apply = [&](const admission_change& change) {
            for (const auto id : change.admitted) {
                CHECK(waiting.erase(id) == 1 && running.insert(id).second);
            }
            for (const auto& refused : change.refused) {
                CHECK(waiting.erase(refused.id) == 1);
            }
        };
        for (std::uint64_t step = 1; step <= 300; ++step) {
            const time_ms step_time{static_cast<std::int64_t>(step * 10)};
            const auto action = random() % 10;
            if (action < 5) {
                waiting.insert(step);
                apply(queue_under_test.offer({step, std::to_string(random() % 4),
                                              static_cast<token_count>(random() % 100'000),
                                              static_cast<int>(random() % 3),
                                              step_time + time_ms{200}},
                                             step_time));
            } else if (action < 8 && !running.empty()) {
                const auto id = *running.begin();
                running.erase(id);
                apply(queue_under_test.release(id, step_time));
            } else if (action == 8) {
                apply(queue_under_test.set_share(static_cast<std::int64_t>(random() % 6), 1,
                                                 step_time));
            } else {
                apply(queue_under_test.expire(step_time));
            }
            CHECK_EQUAL_TEXT(waiting.size(), queue_under_test.waiting(),
                             fmt::format("seed {}", seed).c_str());
            CHECK_EQUAL(running.size(), queue_under_test.running());
        }
    }
}

// Retries must not multiply the load of a failing pool (section 5.2).
TEST(admission, retries_are_limited_to_a_tenth_of_the_requests)
{
    retry_budget budget{10, 5};
    CHECK(!budget.take(false));
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.add_request();
        retries += budget.take(true) ? 1 : 0;
    }
    CHECK(retries >= 100 && retries <= 105);
}
