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
const failure answer_lost{result_code::backend_lost, "answer lost"};
const failure busy{result_code::overloaded, "busy"};

execution_request make_request(const std::string& key, int attempt = 0, std::int64_t epoch = 0)
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
    const auto id = start(make_request("k"));
    CHECK(registry.mark_sent(id));
    CHECK(begin(make_request("k")) == begin_action::join);
    CHECK(registry.mark_answered(id, {201, "", "done", 5}, now));
    const auto again = registry.begin(make_request("k"), now);
    CHECK(again.action == begin_action::answered);
    CHECK_EQUAL(std::string{"done"}, again.answer->body);
    auto other = make_request("k");
    other.account = "other";
    CHECK(begin(other) == begin_action::start);
}

// Guards against returning the recorded answer of another request that used the same key.
TEST(executions, another_body_is_a_conflict)
{
    start(make_request("k"));
    auto other = make_request("k");
    other.body_digest = "bb";
    CHECK(registry.begin(other, now).error.code == result_code::idempotency_key_conflict);
}

// Guards against a second run: a request that a backend server may have received must not be sent
// again.
TEST(executions, only_an_undelivered_request_may_be_sent_again)
{
    const auto id = start(make_request("k"));
    CHECK(registry.mark_sent(id));
    CHECK(!registry.mark_sent(id));
    registry.mark_not_delivered(id);
    CHECK(registry.mark_sent(id));
    CHECK(registry.mark_unknown(id, answer_lost, now));
    registry.mark_not_delivered(id);
    CHECK(!registry.mark_sent(id));
    CHECK(registry.refuse(id, busy, now) == run_outcome::unknown);
    CHECK(registry.begin(make_request("k"), now).error == answer_lost);
    // A late answer replaces the unknown outcome but is not billed again.
    CHECK(!registry.mark_answered(id, {}, now));
    CHECK(begin(make_request("k")) == begin_action::answered);
}

// Guards against running a delayed copy of an attempt that was reported as "not run".
TEST(executions, a_refusal_covers_all_attempts_up_to_its_own)
{
    const auto id = start(make_request("k", 1));
    CHECK(begin(make_request("k", 3)) == begin_action::join);
    CHECK(registry.refuse(id, busy, now) == run_outcome::not_run);
    CHECK(begin(make_request("k", 2)) == begin_action::refused);
    CHECK(begin(make_request("k", 4)) == begin_action::start);
}

// Guards against running a key at an instance that is not its home, and against reporting "not run"
// there while the home may run it.
TEST(executions, an_unconfirmed_home_neither_sends_nor_reports_not_run)
{
    auto unconfirmed = make_request("k", 2);
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

// Guards against a second run under an old intent row after the record of the first was removed.
TEST(executions, an_expired_intent_row_does_not_run)
{
    now = minutes(60 * 30);
    auto unconfirmed = make_request("k", 1, 30);
    unconfirmed.home_confirmed = false;
    const auto id = start(unconfirmed);
    CHECK(!registry.confirm_home(id, 2, now));
    CHECK(!registry.mark_sent(id));
    CHECK(begin(unconfirmed) == begin_action::outcome_unknown);
}

// Guards against removing the record of a key that is still valid, and against unbounded memory.
TEST(executions, keys_are_kept_until_their_epoch_has_expired)
{
    const auto id = start(make_request("k"));
    CHECK(registry.mark_sent(id));
    registry.mark_unknown(id, answer_lost, now);
    now = minutes(60 * 25) - time_ms{1};
    registry.expire(now);
    CHECK(begin(make_request("k")) == begin_action::outcome_unknown);
    CHECK_EQUAL(1U, registry.size());
    now = minutes(60 * 25);
    registry.expire(now);
    CHECK(registry.begin(make_request("k"), now).error.code == result_code::key_expired);
    CHECK_EQUAL(0U, registry.size());
}

TEST(executions, memory_is_bounded)
{
    for (int i = 0; i < 8; ++i) {
        const auto id = start(make_request(std::to_string(i)));
        CHECK(registry.mark_sent(id));
        registry.mark_answered(id, {200, "", std::string(30, 'x')}, now);
    }
    // A full registry refuses new keys instead of removing records of valid ones.
    CHECK(registry.begin(make_request("9", 1), now).error.code == result_code::overloaded);
    CHECK(begin(make_request("9", 2)) == begin_action::outcome_unknown);
    // The oldest answers are dropped, but their keys still do not run again.
    CHECK(begin(make_request("0")) == begin_action::outcome_unknown);
    CHECK(begin(make_request("7")) == begin_action::answered);
    for (int i = 0; i < 4; ++i) {
        const auto id = start({"acct", std::to_string(i) + "i", "aa", true});
        CHECK(registry.mark_sent(id));
        registry.mark_answered(id, {}, now);
    }
    registry.expire(now);
    CHECK_EQUAL(8U + 2U, registry.size());
}

// Guards against final records that miss a sent key, or that are taken before the last execution
// has ended. Other instances would then report "not run" for a request that ran.
TEST(executions, final_records_name_every_sent_key)
{
    const auto sent = start(make_request("sent"));
    CHECK(registry.mark_sent(sent));
    registry.drain();
    CHECK(!registry.final(now));
    CHECK(begin(make_request("sent")) == begin_action::join);
    CHECK(registry.begin(make_request("late", 5), now).error.code == result_code::draining);
    registry.mark_unknown(sent, answer_lost, now);
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

// Guards against telling a caller that its request has not run, as the last of several servers has
// refused it, though an answer of an earlier one was lost.
TEST(executions, a_refusal_says_nothing_of_an_earlier_attempt)
{
    const auto id = start({"acct", "k", "aa", true});
    CHECK(registry.mark_sent(id));
    CHECK(registry.mark_sent(id)); // again, as the first answer was lost
    registry.mark_not_delivered(id);
    CHECK(registry.refuse(id, busy, now) == run_outcome::unknown);
    // Without a lost answer a refusal by each server is one by all.
    const auto refused = start({"acct", "other", "aa", true});
    CHECK(registry.mark_sent(refused));
    registry.mark_not_delivered(refused);
    CHECK(registry.mark_sent(refused));
    registry.mark_not_delivered(refused);
    CHECK(registry.refuse(refused, busy, now) == run_outcome::not_run);
}

namespace
{
/// Simulates three instances, one backend server that counts runs, and a network that delays, loses
/// and duplicates messages. Intent rows are stored in a map; the response to an insert can be lost.
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
        auto request = make_request(key, ++attempts[key]);
        network.push_back({static_cast<int>(random() % 3), request, false, key});
    }

    void deliver()
    {
        if (network.empty()) {
            return;
        }
        const auto at = network.begin() + static_cast<long>(random() % network.size());
        const auto message = *at;
        if (!chance(20)) { // otherwise the message stays and is delivered again later
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
            return insert_intent(message);
        }
        if (message.forwarded || decision.action == home_action::run_here) {
            return run(i, message.request);
        }
        forward_or_refuse(decision, message);
    }

    void forward_or_refuse(const home_decision& decision, const message& message)
    {
        if (decision.action == home_action::forward) {
            auto next = message;
            next.instance = decision.incarnation[0] - '0';
            next.forwarded = true;
            if (!chance(20)) {
                network.push_back(next);
            }
        } else if (decision.action == home_action::refuse) {
            report_not_run(message.key, message.request.attempt);
        }
    }

    void insert_intent(const message& message)
    {
        const auto i = static_cast<std::size_t>(message.instance);
        auto request = message.request;
        request.home_confirmed = false;
        const auto begun = registries[i].begin(request, {});
        if (begun.action != begin_action::start) {
            return report_if_refused(begun, request);
        }
        intent_result result{intent_outcome::inserted, {names[i], 0}, request.attempt, chance(30)};
        if (chance(30)) {
            result.outcome = intent_outcome::unavailable;
        } else if (!intent_rows.emplace(message.key, names[i]).second) {
            result.outcome = intent_outcome::exists;
            result.row.incarnation = intent_rows[message.key];
        }
        if (result.outcome != intent_outcome::unavailable && chance(30)) {
            result.outcome = intent_outcome::unknown;
            result.give_up = true;
        }
        const auto decision = homes[i].after_intent("acct", message.key, result, *this);
        if (decision.action == home_action::run_here) {
            CHECK(registries[i].confirm_home(begun.id, decision.epoch, {}).has_value());
            return add_open_execution(i, begun.id, request);
        }
        if (decision.action == home_action::forward) {
            registries[i].withdraw(begun.id);
            return forward_or_refuse(decision, message);
        }
        if (registries[i].refuse(begun.id, busy, {}) == run_outcome::not_run &&
            decision.action == home_action::refuse) {
            report_not_run(message.key, request.attempt);
        }
    }

    void run(std::size_t i, const execution_request& request)
    {
        const auto begun = registries[i].begin(request, {});
        if (begun.action != begin_action::start) {
            return report_if_refused(begun, request);
        }
        add_open_execution(i, begun.id, request);
    }

    void report_if_refused(const begin_result& begun, const execution_request& request)
    {
        if (begun.action == begin_action::refused) {
            report_not_run(request.key, request.attempt);
        }
    }

    void add_open_execution(std::size_t i, execution_id id, const execution_request& request)
    {
        open_executions.push_back({i, id, request, false});
    }

    /// Advances one open execution: sends its request, processes the result, or refuses it.
    void advance()
    {
        if (open_executions.empty()) {
            return;
        }
        const auto at =
            open_executions.begin() + static_cast<long>(random() % open_executions.size());
        auto& [i, id, request, delivered] = *at;
        auto& registry = registries[i];
        if (!alive[i]) {
            open_executions.erase(at);
        } else if (chance(20)) {
            if (registry.refuse(id, busy, {}) == run_outcome::not_run) {
                report_not_run(request.key, request.attempt);
            }
            open_executions.erase(at);
        } else if (registry.mark_sent(id)) {
            delivered = chance(50);
            if (delivered) {
                ++run_counts[request.key];
                check_run(request.key, request.attempt);
            }
        } else if (!delivered) {
            registry.mark_not_delivered(id);
        } else if (chance(50)) {
            bills += registry.mark_answered(id, {}, {}) ? 1 : 0;
        } else {
            bills += registry.mark_unknown(id, answer_lost, {}) ? 1 : 0;
        }
        CHECK(bills <= static_cast<int>(run_counts.size()));
    }

    void report_not_run(const std::string& key, int attempt)
    {
        max_refused_attempt[key] = std::max(max_refused_attempt[key], attempt);
        // A later attempt may have run, but not this or an earlier one.
        CHECK(run_counts[key] == 0 || last_run_attempt[key] > attempt);
    }

    void check_run(const std::string& key, int attempt)
    {
        last_run_attempt[key] = attempt;
        CHECK_EQUAL(1, run_counts[key]);
        // For callers that do not number attempts, "not run" only means that no copy has run so
        // far.
        CHECK(attempt == 0 || attempt > max_refused_attempt[key]);
    }

    /// Terminates or drains a random instance. A drained one ends after its last execution.
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
    std::map<std::string, int> run_counts;
    std::map<std::string, int> last_run_attempt;
    std::map<std::string, int> max_refused_attempt;
    std::map<std::string, std::string> intent_rows;
    std::vector<message> network;
    std::vector<open_execution> open_executions;
    bool alive[3]{true, true, true};
    std::shared_ptr<const final_records> records[3];
    int bills{0};
};
} // namespace

// Guards against running a key twice, billing it twice, or reporting "not run" for an attempt that
// ran, under random sequences of attempts, duplicates, losses, terminations and drains.
TEST(executions, random_sequences_run_at_most_once_and_report_not_run_correctly)
{
    UT_PRINT("seeds 1 to 3000, 60 steps each");
    int total = 0;
    for (unsigned seed = 1; seed <= 3000; ++seed) {
        fleet system{seed};
        for (int step = 0; step < 60; ++step) {
            const auto roll = system.random() % 100;
            if (roll < 30) {
                system.attempt();
            } else if (roll < 65) {
                system.deliver();
            } else if (roll < 97) {
                system.advance();
            } else {
                system.stop_one();
            }
        }
        for (const auto& [key, count] : system.run_counts) {
            CHECK_TEXT(count <= 1, fmt::format("seed {}", seed).c_str());
            total += count;
        }
    }
    CHECK(total > 1000);
}

// Guards against two homes for one key when it arrives at three instances at the same time.
TEST(executions, a_key_at_three_instances_runs_once)
{
    for (std::size_t k = 0; k < 2; ++k) {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            fleet system{seed};
            for (int i = 0; i < 3; ++i) {
                const auto& key = system.keys[k];
                system.network.push_back({i, make_request(key, 0), false, key});
            }
            for (int step = 0; step < 30; ++step) {
                system.deliver();
                system.advance();
            }
            CHECK(system.run_counts[system.keys[k]] <= 1);
        }
    }
}

// Guards against gaps of `sequence_window` unused numbers between the settled numbers and a used
// one. Recovery would stop searching at such a gap and miss the used number.
TEST(executions, sequence_gaps_stay_below_the_window)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random{seed};
        server_sequence sequence;
        std::set<std::int64_t> used;
        std::vector<std::int64_t> outstanding;
        for (int step = 0; step < 3000; ++step) {
            if (random() % 2 == 0) {
                if (const auto n = sequence.take()) {
                    outstanding.push_back(*n);
                    CHECK(!used.contains(*n));
                    // The unused numbers directly below n, if n reaches the server now.
                    auto below = *n;
                    while (below > 1 && !used.contains(below - 1)) {
                        --below;
                    }
                    CHECK_TEXT(*n - below < static_cast<std::int64_t>(sequence_window),
                               fmt::format("seed {} step {}", seed, step).c_str());
                } else {
                    CHECK_EQUAL(sequence_window, outstanding.size());
                }
            } else if (!outstanding.empty()) {
                const auto at =
                    outstanding.begin() + static_cast<long>(random() % outstanding.size());
                if (random() % 3 == 0) {
                    used.insert(*at);
                    sequence.settled(*at);
                } else {
                    sequence.not_delivered(*at);
                }
                outstanding.erase(at);
            }
        }
        CHECK(sequence.snapshot().unsettled.size() >= outstanding.size());
    }
}
