#include "load/load.h"

// Before CppUTest, whose macros redefine `new`.
#include "http/http.h"
#include "standins/engine_answer.h"
#include "standins/service_answer.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
attempt_result error(int status, const std::string& type, bool not_run)
{
    return {attempt_result::kind::error, {status, type, not_run, {}, time_ms{0}}};
}

attempt_result broken(attempt_result::kind kind)
{
    return {kind, {}};
}

constexpr auto lost = attempt_result::kind::lost;
constexpr auto not_delivered = attempt_result::kind::not_delivered;
constexpr auto same_key = attempt_step::kind::retry_same_key;
constexpr auto new_key = attempt_step::kind::retry_new_key;

bool finishes(const attempt_step& step, caller_outcome outcome)
{
    return step.what == attempt_step::kind::finish && step.outcome == outcome;
}

std::string sse(int id, const std::string& text)
{
    const nlohmann::json chunk{{"choices", {{{"delta", {{"content", text}}}}}}};
    return "id: " + std::to_string(id) + "\ndata: " + chunk.dump() + "\n\n";
}

// A fleet instance that answers correctly unless a test injects a fault.
class fake_instance
{
public:
    std::atomic<int> cut_streams{0};  ///< streams cut after their first token
    std::atomic<int> lost_calls{0};   ///< calls that run but get no response
    std::atomic<int> refusals{0};     ///< requests refused with 429, not run
    std::atomic<int> wrong_tokens{0}; ///< chats with a wrong token

    [[nodiscard]] std::string address() const { return server_.address(); }

    std::map<std::string, int> runs()
    {
        const std::lock_guard lock{mutex_};
        return runs_;
    }

    std::vector<std::string> resumes()
    {
        const std::lock_guard lock{mutex_};
        return resumes_;
    }

private:
    http_response answer(const http_request& request)
    {
        if (request.header("authorization") != "Bearer secret") {
            return {401, {}, "{}"};
        }
        if (request.path == "/v1/instances") {
            const nlohmann::json body{{"valid_ms", 1000},
                                      {"instances", {{{"address", address()}}}},
                                      {"key_prefix", "jv1.i.0.mac"},
                                      {"key_home", address()}};
            return {200, {}, body.dump()};
        }
        if (refusals > 0) {
            --refusals;
            return {429, {}, R"({"error":{"type":"overloaded","outcome":"not_run"}})"};
        }
        return request.path.starts_with("/v1/calls/") ? call(request) : chat(request);
    }

    http_response call(const http_request& request)
    {
        const std::string key{request.header("idempotency-key")};
        const std::lock_guard lock{mutex_};
        ++runs_[key];
        if (lost_calls > 0) {
            --lost_calls;
            return cut();
        }
        const auto kind = request.path.substr(std::string{"/v1/calls/"}.size());
        return {200, {}, nlohmann::json{{"answer", service_answer(kind, request.body)}}.dump()};
    }

    http_response chat(const http_request& request)
    {
        {
            const std::lock_guard lock{mutex_};
            resumes_.emplace_back(request.header("jujubevalve-resume"));
        }
        const auto body = nlohmann::json::parse(request.body);
        const engine_answer expected{prompt_of(request.body), body.at("max_tokens")};
        const bool wrong = wrong_tokens > 0 && wrong_tokens-- > 0;
        if (!body.at("stream").get<bool>()) {
            const auto text = expected.text() + (wrong ? "x" : "");
            return {
                200, {}, nlohmann::json{{"choices", {{{"message", {{"content", text}}}}}}}.dump()};
        }
        const bool cut = cut_streams > 0 && cut_streams-- > 0;
        http_response response;
        response.headers["Jujubevalve-Resume"] = "signed";
        response.stream = [expected, cut, wrong, index = 0](std::string& bytes) mutable {
            if (cut && index == 1) {
                return stream_step::cut;
            }
            if (index > expected.size()) {
                return stream_step::end;
            }
            const bool last = index == expected.size();
            bytes = last ? "data: [DONE]\n\n" : sse(index, wrong ? "x" : expected.token(index));
            ++index;
            return stream_step::data;
        };
        return response;
    }

    static http_response cut()
    {
        http_response response;
        response.stream = [](std::string&) { return stream_step::cut; };
        return response;
    }

    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::vector<std::string> resumes_;
    http_server server_{{}, [this](const http_request& request) { return answer(request); }};
};

load_options options_for(const fake_instance& instance, const load_mix& mix)
{
    load_options options;
    options.routers = {instance.address()};
    options.accounts = {{"council", "secret", "grit-assist", "orders", 1}};
    options.mix = mix;
    options.requests = 6;
    options.concurrency = 2;
    options.limits.retry_delay = time_ms{1};
    return options;
}

load_totals run_load(const fake_instance& instance, const load_mix& mix)
{
    load_driver driver{options_for(instance, mix)};
    driver.run();
    return driver.stats().totals();
}

constexpr load_mix only_streams{1, 0};
constexpr load_mix only_chats{0, 0};
constexpr load_mix only_calls{0, 1};
} // namespace

TEST_GROUP(attempts){};

// Guards against a second run of a call whose first attempt may have been delivered.
TEST(attempts, a_lost_call_keeps_its_key)
{
    attempt_policy policy{{}, false};
    CHECK(policy.after(broken(lost)).what == same_key);
    CHECK(policy.after(broken(not_delivered)).what == same_key);
    CHECK(policy.after(error(503, "draining", true)).what == same_key);
}

// Guards against a call that keeps the key of a dead instance, which no other instance can run.
TEST(attempts, a_call_that_was_not_delivered_takes_a_new_key)
{
    attempt_policy policy{{}, false};
    CHECK(policy.after(broken(not_delivered)).what == new_key);
    CHECK(policy.after(error(503, "draining", true)).what == new_key);
    attempt_policy chat{{}, true};
    CHECK(chat.after(broken(not_delivered)).what == same_key);
}

// Guards against a request that is refused before its three retries are used up.
TEST(attempts, retries_a_refused_request_three_times)
{
    attempt_policy policy{{}, true};
    auto refusal = error(429, "overloaded", true);
    refusal.error.retry_after = seconds(2);
    refusal.error.try_addresses = {"10.0.0.1:80"};
    for (int i = 0; i < 3; ++i) {
        const auto step = policy.after(refusal);
        CHECK(step.what == same_key);
        CHECK(step.delay == seconds(2));
        CHECK(step.addresses == refusal.error.try_addresses);
    }
    CHECK(finishes(policy.after(refusal), caller_outcome::refused_not_run));
}

// Guards against retries of an invalid request.
TEST(attempts, an_invalid_request_is_not_retried)
{
    attempt_policy policy{{}, true};
    CHECK(
        finishes(policy.after(error(400, "invalid_field", true)), caller_outcome::refused_not_run));
}

// Guards against an unknown outcome reported as a refusal, and against retrying it endlessly.
TEST(attempts, an_unknown_call_outcome_is_final_unless_its_key_home_was_unreachable)
{
    attempt_policy recorded{{}, false};
    CHECK(finishes(recorded.after(error(502, "backend_lost", false)),
                   caller_outcome::outcome_unknown));
    attempt_policy away{{}, false};
    CHECK(away.after(error(503, "peer_unreachable", false)).what == same_key);
    CHECK(
        finishes(away.after(error(503, "key_home_gone", false)), caller_outcome::outcome_unknown));
    attempt_policy chat{{}, true};
    CHECK(chat.after(error(502, "backend_lost", false)).what == same_key);
}

// Guards against endless attempts, and against an unknown outcome where nothing was sent.
TEST(attempts, transport_failures_are_limited)
{
    attempt_policy unreachable{{3, 2}, false};
    unreachable.after(broken(not_delivered));
    CHECK(finishes(unreachable.after(broken(not_delivered)), caller_outcome::unreachable));
    attempt_policy unknown{{3, 2}, false};
    unknown.after(broken(lost));
    CHECK(finishes(unknown.after(broken(not_delivered)), caller_outcome::outcome_unknown));
}

TEST_GROUP(addresses){};

// Guards against callers that keep using a dead instance, or that run out of addresses.
TEST(addresses, avoids_failed_addresses_and_falls_back_to_bootstrap)
{
    address_cache cache{{"1.1.1.1:1"}, seconds(3)};
    CHECK(cache.is_stale(time_ms{0}));
    cache.update({seconds(10), {"2.2.2.2:2", "3.3.3.3:3"}, "p", "2.2.2.2:2"}, time_ms{0});
    CHECK(!cache.is_stale(time_ms{9999}));
    cache.avoid("2.2.2.2:2", time_ms{0});
    CHECK_EQUAL(std::string{"3.3.3.3:3"}, cache.choose(0, {}, {}, time_ms{1}));
    CHECK_EQUAL(std::string{"1.1.1.1:1"}, cache.choose(0, {}, "3.3.3.3:3", time_ms{1}));
    CHECK_EQUAL(std::string{"4.4.4.4:4"}, cache.choose(0, {"4.4.4.4:4"}, {}, time_ms{1}));
    CHECK_EQUAL(std::string{"2.2.2.2:2"}, cache.choose(0, {}, {}, time_ms{3001}));
    CHECK(!cache.current(time_ms{10'000}));
}

TEST_GROUP(answers)
{
    const std::string prompt{"a prompt tokens=3"};
    const engine_answer expected{prompt, 10};
    answer_checker checker{prompt, 10};
};

TEST(answers, a_complete_answer_is_correct)
{
    for (int i = 0; i < 3; ++i) {
        CHECK_EQUAL(1, checker.feed(sse(i, expected.token(i))));
    }
    checker.feed("data: [DONE]\n\n");
    CHECK(checker.ended());
    CHECK(!checker.wrong());
}

// Guards against a partial answer that is marked complete.
TEST(answers, an_early_end_is_wrong)
{
    checker.feed(sse(0, expected.token(0)) + "data: [DONE]\n\n");
    CHECK(checker.wrong());
}

// Guards against repeated, missing and foreign tokens.
TEST(answers, a_repeated_token_is_wrong)
{
    checker.feed(sse(0, expected.token(0)) + sse(0, expected.token(0)));
    CHECK(checker.wrong());
}

TEST(answers, a_foreign_token_is_wrong)
{
    checker.feed(sse(0, engine_answer("other", 10).token(0)));
    CHECK(checker.wrong());
}

// Guards against a stream whose event ids do not match the positions of its tokens.
TEST(answers, a_wrong_index_is_wrong)
{
    checker.feed(sse(1, expected.token(0)));
    CHECK(checker.wrong());
}

// Guards against counting a stream that ends with an error event as a wrong answer.
TEST(answers, an_error_event_is_not_a_wrong_answer)
{
    checker.feed("data: {\"error\":{\"type\":\"backend_lost\"}}\n\n");
    CHECK(checker.has_error_event());
    CHECK(!checker.wrong());
    CHECK(!checker.ended());
}

TEST_GROUP(reading){};

TEST(reading, an_error_with_hints)
{
    const auto read = read_caller_error(
        503, {{"retry-after", "3"}},
        R"({"error":{"type":"draining","outcome":"not_run","try":["10.0.0.1:80","host:80"]}})");
    CHECK(read == (caller_error{503, "draining", true, {"10.0.0.1:80"}, seconds(3)}));
    CHECK(!read_caller_error(503, {}, "gone").not_run);
}

TEST(reading, accounts)
{
    CHECK(parse_accounts(R"([{"account":"a","bearer_key":"k","chat_kind":"m"}])").has_value());
    CHECK(!parse_accounts(R"([{"account":"a","bearer_key":"k"}])"));
    CHECK(!parse_accounts(R"([{"account":1}])"));
    CHECK(!parse_accounts("{}"));
}

TEST_GROUP(driver){};

TEST(driver, counts_correct_answers)
{
    const fake_instance instance;
    CHECK_EQUAL(6, run_load(instance, only_streams).answered);
    CHECK_EQUAL(6, run_load(instance, only_chats).answered);
    CHECK_EQUAL(6, run_load(instance, only_calls).answered);
}

// Guards against a cut stream that counts as an answer, or a retry without the resume value.
TEST(driver, retries_a_cut_stream_with_its_resume_value)
{
    fake_instance instance;
    instance.cut_streams = 1;
    const auto totals = run_load(instance, only_streams);
    CHECK_EQUAL(6, totals.answered);
    CHECK_EQUAL(1, totals.lost_attempts);
    const auto resumes = instance.resumes();
    CHECK_EQUAL(1, std::count(resumes.begin(), resumes.end(), "signed"));
}

// Guards against a load driver that accepts wrong answers.
TEST(driver, counts_a_wrong_answer)
{
    fake_instance instance;
    instance.wrong_tokens = 1;
    CHECK_EQUAL(1, run_load(instance, only_streams).wrong_or_partial_answers);
    instance.wrong_tokens = 1;
    CHECK_EQUAL(1, run_load(instance, only_chats).wrong_or_partial_answers);
}

// Guards against a lost call that is retried under another key, which could run it twice.
TEST(driver, retries_a_lost_call_under_the_same_key_only)
{
    fake_instance instance;
    instance.lost_calls = 1;
    const auto totals = run_load(instance, only_calls);
    CHECK_EQUAL(6, totals.answered);
    CHECK_EQUAL(1, totals.lost_attempts);
    CHECK_EQUAL(6U, instance.runs().size());
    CHECK(instance.runs().begin()->first.starts_with("jv1.i.0.mac."));
}

// Guards against a refusal that ends a request although a later try succeeds.
TEST(driver, retries_after_a_refusal)
{
    fake_instance instance;
    instance.refusals = 2;
    const auto totals = run_load(instance, only_calls);
    CHECK_EQUAL(6, totals.answered);
    CHECK_EQUAL(2, totals.refused_attempts);
}

// Guards against a request without a record, which a checker of the run could not account for.
TEST(driver, records_each_request)
{
    const fake_instance instance;
    std::ostringstream records;
    load_driver driver{options_for(instance, only_calls), &records};
    driver.run();
    const auto text = records.str();
    CHECK_EQUAL(6, std::count(text.begin(), text.end(), '\n'));
    const auto first = nlohmann::json::parse(text.substr(0, text.find('\n')));
    CHECK_EQUAL(std::string{"answered"}, first.at("outcome").get<std::string>());
    CHECK_EQUAL(1U, first.at("keys").size());
}
