#include "requests/requests.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <fmt/core.h>
#include <map>
#include <random>
#include <set>

using namespace jujubevalve;

namespace
{
const failure lost{result_code::backend_lost, "answer lost"};
const failure busy{result_code::overloaded, "busy"};

execution_request order(const std::string& key, int attempt = 0, std::int64_t epoch = 0)
{
    return {"acct", key, "aa", false, epoch, attempt, true};
}
} // namespace

TEST_GROUP(executions)
{
    time_ms now{};
    execution_registry registry{"a-1", key_epochs{}, {8, 2, 100, minutes(10)}};

    begin_action begin(const execution_request& request)
    {
        return registry.begin(request, now).action;
    }
    execution_id start(const execution_request& request)
    {
        const auto begun = registry.begin(request, now);
        CHECK(begun.action == begin_action::start);
        return begun.id;
    }
};

TEST(executions, retries_join_and_get_the_recorded_answer)
{
    const auto id = start(order("k"));
    CHECK(registry.mark_sent(id));
    CHECK(begin(order("k")) == begin_action::join);
    CHECK(registry.mark_answered(id, {201, "", "done", 5}, now));
    const auto again = registry.begin(order("k"), now);
    CHECK(again.action == begin_action::answered);
    CHECK_EQUAL(std::string{"done"}, again.answer->body);
    auto other = order("k");
    other.account = "other";
    CHECK(begin(other) == begin_action::start);
}

// Guards against a key that is reused for another order (wrong answer, G3).
TEST(executions, another_body_is_a_conflict)
{
    start(order("k"));
    auto other = order("k");
    other.body_digest = "bb";
    CHECK(registry.begin(other, now).why.code == result_code::idempotency_key_conflict);
}

// Guards against a second run after an order that may have been delivered (G5).
TEST(executions, only_an_undelivered_order_may_be_sent_again)
{
    const auto id = start(order("k"));
    CHECK(registry.mark_sent(id));
    CHECK(!registry.mark_sent(id));
    registry.mark_not_delivered(id);
    CHECK(registry.mark_sent(id));
    CHECK(registry.mark_unknown(id, lost, now));
    registry.mark_not_delivered(id);
    CHECK(!registry.mark_sent(id));
    CHECK(registry.refuse(id, busy, now) == run_outcome::unknown);
    CHECK(registry.begin(order("k"), now).why == lost);
    // A late answer replaces the unknown outcome but is not billed again (G2).
    CHECK(!registry.mark_answered(id, {}, now));
    CHECK(begin(order("k")) == begin_action::answered);
}

// Guards against a delayed copy that runs after its attempt was answered "not run" (G4).
TEST(executions, a_refusal_covers_all_attempts_up_to_its_own)
{
    const auto id = start(order("k", 1));
    CHECK(begin(order("k", 3)) == begin_action::join);
    CHECK(registry.refuse(id, busy, now) == run_outcome::not_run);
    CHECK(begin(order("k", 2)) == begin_action::refused);
    CHECK(begin(order("k", 4)) == begin_action::start);
}

// Guards against a run at an instance that is not the key's home, and against a "not run" there.
TEST(executions, an_unconfirmed_home_neither_sends_nor_denies)
{
    auto unconfirmed = order("k", 2);
    unconfirmed.home_confirmed = false;
    const auto id = start(unconfirmed);
    CHECK(!registry.mark_sent(id));
    CHECK(registry.refuse(id, busy, now) == run_outcome::unknown);
    CHECK(begin(unconfirmed) == begin_action::outcome_unknown);
    unconfirmed.attempt = 3;
    const auto next = start(unconfirmed);
    CHECK(registry.confirm_home(next, 0, now).has_value());
    CHECK(registry.mark_sent(next));
}

// Guards against a second run under an old intent row, when the first run is forgotten (G5).
TEST(executions, an_expired_intent_row_does_not_run)
{
    now = minutes(60 * 30);
    auto unconfirmed = order("k", 1, 30);
    unconfirmed.home_confirmed = false;
    const auto id = start(unconfirmed);
    CHECK(!registry.confirm_home(id, 2, now));
    CHECK(!registry.mark_sent(id));
    CHECK(begin(unconfirmed) == begin_action::outcome_unknown);
}

// Guards against forgetting a key that can still be presented, and against endless memory.
TEST(executions, keys_are_kept_until_their_epoch_has_expired)
{
    const auto id = start(order("k"));
    CHECK(registry.mark_sent(id));
    registry.mark_unknown(id, lost, now);
    now = minutes(60 * 25) - time_ms{1};
    registry.expire(now);
    CHECK(begin(order("k")) == begin_action::outcome_unknown);
    CHECK_EQUAL(1U, registry.size());
    now = minutes(60 * 25);
    registry.expire(now);
    CHECK(registry.begin(order("k"), now).why.code == result_code::key_expired);
    CHECK_EQUAL(0U, registry.size());
}

TEST(executions, memory_is_bounded)
{
    for (int i = 0; i < 8; ++i) {
        const auto id = start(order(std::to_string(i)));
        CHECK(registry.mark_sent(id));
        registry.mark_answered(id, {200, "", std::string(30, 'x')}, now);
    }
    // A full registry must not forget; it refuses.
    CHECK(registry.begin(order("9", 1), now).why.code == result_code::overloaded);
    CHECK(begin(order("9", 2)) == begin_action::outcome_unknown);
    // The oldest answers' bodies are dropped, but the keys still do not run again.
    CHECK(begin(order("0")) == begin_action::outcome_unknown);
    CHECK(begin(order("7")) == begin_action::answered);
    for (int i = 0; i < 4; ++i) {
        const auto id = start({"acct", std::to_string(i) + "i", "aa", true});
        CHECK(registry.mark_sent(id));
        registry.mark_answered(id, {}, now);
    }
    registry.expire(now);
    CHECK_EQUAL(8U + 2U, registry.size());
}

// Guards against records that miss a sent key or come before the last execution has ended (G4).
TEST(executions, final_records_name_every_sent_key)
{
    const auto sent = start(order("sent"));
    CHECK(registry.mark_sent(sent));
    registry.drain();
    CHECK(!registry.final(now));
    CHECK(begin(order("sent")) == begin_action::join);
    CHECK(registry.begin(order("late", 5), now).why.code == result_code::draining);
    registry.mark_unknown(sent, lost, now);
    const auto records = registry.final(now);
    CHECK(records && !records->proves_not_run("acct", "sent", 0));
    CHECK(records->proves_not_run("acct", "late", 0));
}

TEST(executions, idempotent_requests_may_be_sent_again)
{
    const auto id = start({"acct", "", "aa", true});
    CHECK(registry.mark_sent(id) && registry.mark_sent(id));
    CHECK(registry.mark_answered(id, {}, now));
    CHECK_EQUAL(0U, registry.size());
    CHECK(begin({"acct", "", "aa", false}) == begin_action::refused);
}

namespace
{
/// Three instances, one backend server that counts runs, and a network that delays, loses and
/// duplicates messages. The intent row is a table entry whose insert answer can be lost.
struct fleet {
    struct message {
        int instance;
        execution_request request;
        bool forwarded;
        std::string key;
    };

    explicit fleet(unsigned seed)
        : random{seed}
    {
        for (int i = 0; i < 3; ++i) {
            names.push_back(fmt::format("{}-1", i));
            registries.emplace_back(names.back(), key_epochs{}, registry_limits{});
            homes.emplace_back(names.back(), prefixes);
        }
        keys = {prefixes.issue(names[0], 0, "acct") + "x", "own-key"};
    }

    [[nodiscard]] incarnation_info find(const std::string& name) const
    {
        const auto i = static_cast<std::size_t>(name[0] - '0');
        return alive[i]     ? incarnation_info{home_state::live, "", nullptr}
               : records[i] ? incarnation_info{home_state::drained, "", records[i]}
                            : incarnation_info{};
    }

    bool chance(unsigned percent) { return random() % 100 < percent; }

    void attempt()
    {
        const auto& key = keys[random() % keys.size()];
        auto request = order(key, ++attempts[key]);
        network.push_back({static_cast<int>(random() % 3), request, false, key});
    }

    void deliver()
    {
        if (network.empty()) {
            return;
        }
        const auto at = network.begin() + static_cast<long>(random() % network.size());
        const auto message = *at;
        if (!chance(20)) { // otherwise the same message arrives again later
            network.erase(at);
        }
        if (alive[static_cast<std::size_t>(message.instance)]) {
            receive(message);
        }
    }

    void receive(const message& message)
    {
        const auto i = static_cast<std::size_t>(message.instance);
        auto decision = homes[i].decide("acct", message.key, *this);
        if (decision.action == home_action::write_intent && !message.forwarded) {
            return intend(message);
        }
        if (message.forwarded || decision.action == home_action::run_here) {
            return run(i, message.request);
        }
        act_elsewhere(decision, message);
    }

    void act_elsewhere(const home_decision& decision, const message& message)
    {
        if (decision.action == home_action::forward) {
            auto next = message;
            next.instance = decision.incarnation[0] - '0';
            next.forwarded = true;
            if (!chance(20)) {
                network.push_back(next);
            }
        } else if (decision.action == home_action::refuse) {
            refuse(message.key, message.request.attempt);
        }
    }

    void intend(const message& message)
    {
        const auto i = static_cast<std::size_t>(message.instance);
        auto request = message.request;
        request.home_confirmed = false;
        const auto begun = registries[i].begin(request, {});
        if (begun.action != begin_action::start) {
            return answer(begun, request);
        }
        intent_result result{intent_outcome::inserted, {names[i], 0}, request.attempt, chance(30)};
        if (chance(30)) {
            result.outcome = intent_outcome::unavailable;
        } else if (!row.emplace(message.key, names[i]).second) {
            result.outcome = intent_outcome::exists;
            result.row.incarnation = row[message.key];
        }
        if (result.outcome != intent_outcome::unavailable && chance(30)) {
            result.outcome = intent_outcome::unknown;
            result.give_up = true;
        }
        const auto decision = homes[i].after_intent("acct", message.key, result, *this);
        if (decision.action == home_action::run_here) {
            CHECK(registries[i].confirm_home(begun.id, decision.epoch, {}).has_value());
            return order_once(i, begun.id, request);
        }
        if (decision.action == home_action::forward) {
            registries[i].withdraw(begun.id);
            return act_elsewhere(decision, message);
        }
        if (registries[i].refuse(begun.id, busy, {}) == run_outcome::not_run &&
            decision.action == home_action::refuse) {
            refuse(message.key, request.attempt);
        }
    }

    void run(std::size_t i, const execution_request& request)
    {
        const auto begun = registries[i].begin(request, {});
        if (begun.action != begin_action::start) {
            return answer(begun, request);
        }
        order_once(i, begun.id, request);
    }

    void answer(const begin_result& begun, const execution_request& request)
    {
        if (begun.action == begin_action::refused) {
            refuse(request.key, request.attempt);
        }
    }

    void order_once(std::size_t i, execution_id id, const execution_request& request)
    {
        open.push_back({i, id, request, false});
    }

    /// Moves one open execution on: it sends, learns what became of the order, or gives up.
    void advance()
    {
        if (open.empty()) {
            return;
        }
        const auto at = open.begin() + static_cast<long>(random() % open.size());
        auto& [i, id, request, delivered] = *at;
        auto& registry = registries[i];
        if (!alive[i]) {
            open.erase(at);
        } else if (chance(20)) {
            if (registry.refuse(id, busy, {}) == run_outcome::not_run) {
                refuse(request.key, request.attempt);
            }
            open.erase(at);
        } else if (registry.mark_sent(id)) {
            delivered = chance(50);
            if (delivered) {
                ++ran[request.key];
                check(request.key, request.attempt);
            }
        } else if (!delivered) {
            registry.mark_not_delivered(id);
        } else if (chance(50)) {
            bills += registry.mark_answered(id, {}, {}) ? 1 : 0;
        } else {
            bills += registry.mark_unknown(id, lost, {}) ? 1 : 0;
        }
        CHECK(bills <= static_cast<int>(ran.size()));
    }

    void refuse(const std::string& key, int attempt)
    {
        refused[key] = std::max(refused[key], attempt);
        // A run of a later attempt is allowed; one of this or an earlier attempt is not.
        CHECK(ran[key] == 0 || ran_attempt[key] > attempt);
    }

    void check(const std::string& key, int attempt)
    {
        ran_attempt[key] = attempt;
        CHECK_EQUAL(1, ran[key]);
        // Callers that do not number attempts are only told that no copy has run so far.
        CHECK(attempt == 0 || attempt > refused[key]);
    }

    /// An instance dies, or drains and ends with its last execution.
    void stop_one()
    {
        const auto i = random() % 3;
        if (alive[i] && chance(50)) {
            alive[i] = false;
        } else if (alive[i]) {
            registries[i].drain();
        }
        for (std::size_t n = 0; n < 3; ++n) {
            if (const auto done = alive[n] ? registries[n].final({}) : std::nullopt) {
                alive[n] = false;
                records[n] = std::make_shared<const final_records>(*done);
            }
        }
    }

    struct open_execution {
        std::size_t instance;
        execution_id id;
        execution_request request;
        bool delivered;
    };

    std::mt19937 random;
    key_prefix prefixes{"secret"};
    std::vector<std::string> names;
    std::deque<execution_registry> registries;
    std::deque<key_home> homes;
    std::vector<std::string> keys;
    std::map<std::string, int> attempts;
    std::map<std::string, int> ran;
    std::map<std::string, int> ran_attempt;
    std::map<std::string, int> refused;
    std::map<std::string, std::string> row;
    std::vector<message> network;
    std::vector<open_execution> open;
    bool alive[3]{true, true, true};
    std::shared_ptr<const final_records> records[3];
    int bills{0};
};
} // namespace

// Guards G2, G4 and G5 over random orders of attempts, copies, losses, deaths and drains.
TEST(executions, random_sequences_run_at_most_once_and_deny_truthfully)
{
    UT_PRINT("seeds 1 to 3000, 60 steps each");
    int total = 0;
    for (unsigned seed = 1; seed <= 3000; ++seed) {
        fleet system{seed};
        for (int step = 0; step < 60; ++step) {
            const auto what = system.random() % 100;
            if (what < 30) {
                system.attempt();
            } else if (what < 65) {
                system.deliver();
            } else if (what < 97) {
                system.advance();
            } else {
                system.stop_one();
            }
        }
        for (const auto& [key, count] : system.ran) {
            CHECK_TEXT(count <= 1, fmt::format("seed {}", seed).c_str());
            total += count;
        }
    }
    CHECK(total > 1000);
}

// Guards against two homes when one key arrives at three instances at the same time.
TEST(executions, a_key_at_three_instances_runs_once)
{
    for (std::size_t k = 0; k < 2; ++k) {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            fleet system{seed};
            for (int i = 0; i < 3; ++i) {
                const auto& key = system.keys[k];
                system.network.push_back({i, order(key, 0), false, key});
            }
            for (int step = 0; step < 30; ++step) {
                system.deliver();
                system.advance();
            }
            CHECK(system.ran[system.keys[k]] <= 1);
        }
    }
}

// Guards the rule that recovery relies on: between the settled numbers and a used number there are
// never W unused ones in a row (section 4.5).
TEST(executions, sequence_gaps_stay_below_the_window)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random{seed};
        server_sequence sequence;
        std::set<std::int64_t> used;
        std::vector<std::int64_t> open;
        for (int step = 0; step < 3000; ++step) {
            if (random() % 2 == 0) {
                if (const auto n = sequence.take()) {
                    open.push_back(*n);
                    CHECK(!used.contains(*n));
                    // The longest run of unused numbers below a number that arrives now.
                    auto below = *n;
                    while (below > 1 && !used.contains(below - 1)) {
                        --below;
                    }
                    CHECK_TEXT(*n - below < static_cast<std::int64_t>(sequence_window),
                               fmt::format("seed {} step {}", seed, step).c_str());
                } else {
                    CHECK_EQUAL(sequence_window, open.size());
                }
            } else if (!open.empty()) {
                const auto at = open.begin() + static_cast<long>(random() % open.size());
                if (random() % 3 == 0) {
                    used.insert(*at);
                    sequence.settled(*at);
                } else {
                    sequence.not_delivered(*at);
                }
                open.erase(at);
            }
        }
        CHECK(sequence.snapshot().unsettled.size() >= open.size());
    }
}
