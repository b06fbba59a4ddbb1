#include "backend/backend.h"
#include "http/http.h"
#include "standins/standins.h"

// Before CppUTest, whose macros redefine `new`.
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
const std::string prompt = "refill the bins at the depot tokens=12";

backend_options quick_options()
{
    backend_options options;
    options.idle_timeout = time_ms{300};
    options.call_timeout = time_ms{1000};
    options.resume.first_delay = time_ms{5};
    return options;
}

engine_standin_options quick_engine()
{
    engine_standin_options options;
    options.speed.tokens_per_second = 500;
    options.speed.batching_delay = time_ms{5};
    options.load_lag = time_ms{50};
    options.heartbeat = time_ms{50};
    return options;
}

engine_request chat(const std::string& key)
{
    const nlohmann::json body{{"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return {key, R"({"budget":"b"})", body.dump(), 3, 100, "1"};
}

// An engine, a client and the text that the client delivered.
struct engine_setup {
    explicit engine_setup(const engine_standin_options& options = quick_engine())
        : engine{options}
    {
    }

    engine_standin engine;
    counters counted;
    backend_client client{quick_options(), counted};
    std::string text;
    std::string finish;

    bool take(const engine_event& event)
    {
        text += event.text;
        finish = event.finish;
        return true;
    }

    stream_result run(const std::string& key)
    {
        return client.run(engine.address(), chat(key),
                          [this](const auto& event) { return take(event); });
    }

    http_reply post(const std::string& path, const std::string& body) const
    {
        http_client http;
        return http.perform({"POST", "http://" + engine.address() + path, {}, body});
    }

    nlohmann::json get_json(const std::string& path) const
    {
        http_client http;
        return nlohmann::json::parse(
            http.perform({"GET", "http://" + engine.address() + path}).body);
    }

    stream_result run_with(const engine_faults& faults)
    {
        engine.set_faults(faults);
        return run("i.s.1");
    }

    // Checks that the answer is complete and contains no token twice.
    void check_whole(const stream_result& result) const
    {
        CHECK(result.end == backend_outcome::ended);
        CHECK_EQUAL(engine_answer(prompt, 100).text(), text);
        CHECK_EQUAL(std::string{"stop"}, finish);
    }
};

struct service_setup {
    service_standin service{{}};
    counters counted;
    backend_client client{quick_options(), counted};

    call_result call(const std::string& key)
    {
        return client.call(service.address(), {"orders", key, "1", R"({"order":"o"})"});
    }

    int orders_run(const std::string& order) const
    {
        http_client http;
        const auto reply = http.perform({"GET", "http://" + service.address() + "/admin/stats"});
        return nlohmann::json::parse(reply.body).at("orders").at(order).get<int>();
    }
};
} // namespace

TEST_GROUP(engine){};

TEST(engine, streams_the_whole_answer_with_its_usage)
{
    engine_setup setup;
    const auto result = setup.run("i.s.1");
    setup.check_whole(result);
    CHECK(result.used == (usage{7, 12}));
    CHECK_EQUAL(0, result.resumes);
}

// Guards against missing or doubled tokens after a connection went silent.
TEST(engine, resumes_a_silent_connection)
{
    engine_setup setup;
    engine_faults faults;
    faults.silent_connections = 1;
    faults.silent_after = 5;
    const auto result = setup.run_with(faults);
    setup.check_whole(result);
    CHECK_EQUAL(1, result.resumes);
    CHECK_EQUAL(1, setup.counted.at("backend_streams_silent").load());
    CHECK_EQUAL(0, setup.counted.at("backend_events_repeated").load());
}

// Guards against a cut stream that is taken for a complete answer or restarts it.
TEST(engine, resumes_a_cut_stream)
{
    engine_setup setup;
    engine_faults faults;
    faults.cut_connections = 3;
    faults.cut_after = 4;
    const auto result = setup.run_with(faults);
    setup.check_whole(result);
    CHECK_EQUAL(3, result.resumes);
    CHECK(result.used == (usage{7, 12}));
}

// Guards against events of other requests and repeated events in an answer.
TEST(engine, drops_crossed_and_repeated_events)
{
    engine_setup setup;
    engine_faults faults;
    faults.crossed_answers = 2;
    faults.repeated_events = 3;
    const auto result = setup.run_with(faults);
    setup.check_whole(result);
    CHECK_EQUAL(0, result.resumes);
    CHECK_EQUAL(2, setup.counted.at("backend_events_wrong_key").load());
    CHECK_EQUAL(3, setup.counted.at("backend_events_repeated").load());
}

// Guards against an answer with a missing event.
TEST(engine, resumes_after_a_skipped_event)
{
    engine_setup setup;
    engine_faults faults;
    faults.skipped_events = 1;
    const auto result = setup.run_with(faults);
    setup.check_whole(result);
    CHECK_EQUAL(1, result.resumes);
    CHECK_EQUAL(1, setup.counted.at("backend_events_skipped").load());
}

// Guards against invented usage: if usage is missing, the router charges the whole reservation.
TEST(engine, a_missing_usage_stays_missing)
{
    engine_setup setup;
    engine_faults faults;
    faults.usage_missing = true;
    const auto result = setup.run_with(faults);
    setup.check_whole(result);
    CHECK(!result.used);
}

// Guards against a start that arrives after recovery has reclaimed the grant and then spends from
// it.
TEST(engine, a_start_after_its_cancel_is_refused)
{
    engine_setup setup;
    const auto cancelled = setup.client.cancel(setup.engine.address(), "i.s.1");
    CHECK(cancelled && !cancelled->known && !cancelled->marked_before);
    const auto result = setup.run("i.s.1");
    CHECK(result.end == backend_outcome::refused);
    CHECK_EQUAL(std::string{"cancelled"}, result.error_type);
    CHECK(result.key_marked);
    CHECK(setup.client.cancel(setup.engine.address(), "i.s.1")->marked_before);
}

// Guards against recovery that cannot charge an ended run to its budget.
TEST(engine, cancel_of_an_ended_run_returns_usage_and_metadata)
{
    engine_setup setup;
    setup.run("i.s.1");
    const auto cancelled = setup.client.cancel(setup.engine.address(), "i.s.1");
    CHECK(cancelled && cancelled->known && cancelled->finished);
    CHECK(cancelled->used == (usage{7, 12}));
    CHECK_EQUAL(std::string{R"({"budget":"b"})"}, cancelled->metadata);
}

// Guards against tokens generated for a caller that has disconnected.
TEST(engine, a_stopped_run_can_be_cancelled_with_its_usage)
{
    engine_setup setup;
    const auto result = setup.client.run(setup.engine.address(), chat("i.s.1"),
                                         [](const auto& event) { return event.index < 2; });
    CHECK(result.end == backend_outcome::stopped);
    CHECK_EQUAL(3, result.next_index);
    const auto cancelled = setup.client.cancel(setup.engine.address(), "i.s.1");
    CHECK(cancelled && cancelled->known && cancelled->used);
    CHECK(cancelled->used->completion_tokens >= 3);
}

// Guards against a run that ends with the router that started it.
TEST(engine, another_client_resumes_from_the_start)
{
    engine_setup setup;
    CHECK(setup.client.run(setup.engine.address(), chat("i.s.1"), [](const auto&) { return false; })
              .end == backend_outcome::stopped);
    backend_client second{quick_options(), setup.counted};
    const auto result = second.resume(setup.engine.address(), chat("i.s.1"),
                                      [&](const auto& event) { return setup.take(event); });
    setup.check_whole(result);
}

// Guards against "outcome unknown" where it is certain that nothing ran.
TEST(engine, a_refused_connection_is_not_delivered)
{
    counters counted;
    backend_client client{quick_options(), counted};
    std::string address;
    {
        const engine_standin gone{{}};
        address = gone.address();
    }
    const auto ignore = [](const auto&) { return true; };
    CHECK(client.run(address, chat("i.s.1"), ignore).end == backend_outcome::not_delivered);
    CHECK(client.resume(address, chat("i.s.1"), ignore).end == backend_outcome::lost);
    CHECK(client.call(address, {"orders", "k", "", "{}"}).end == backend_outcome::not_delivered);
    CHECK(!client.load(address));
    CHECK(!client.cancel(address, "i.s.1"));
}

// Guards against a start that runs although its client was informed that it did not.
TEST(engine, a_start_that_arrives_after_its_client_gave_up_does_not_run)
{
    engine_setup setup;
    engine_faults faults;
    faults.delay = time_ms{2500};
    // The engine must have been up for longer than the request, so that its records prove "not
    // run".
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    const auto result = setup.run_with(faults);
    CHECK(result.end == backend_outcome::not_delivered);
    CHECK(result.key_marked);
    std::this_thread::sleep_for(std::chrono::milliseconds{2000});
    const auto stats = setup.get_json("/admin/stats");
    CHECK_EQUAL(1, stats.at("resumes_denied").get<int>());
    CHECK_EQUAL(0, stats.at("starts").get<int>());
    CHECK_EQUAL(1, stats.at("starts_denied").get<int>());
    CHECK(stats.at("runs").empty());
}

// Guards against "not run" by an engine that restarted and has lost its records of runs.
TEST(engine, an_engine_that_started_after_the_request_proves_nothing)
{
    auto setup = std::make_unique<engine_setup>();
    const auto address = setup->engine.address();
    setup->engine.set_faults({1});
    std::thread restart{[&] {
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
        setup.reset();
        auto options = quick_engine();
        options.address = address;
        setup = std::make_unique<engine_setup>(options);
    }};
    counters counted;
    auto patient = quick_options();
    patient.resume.max_resumes_without_progress = 1000;
    backend_client client{patient, counted};
    const auto result = client.run(address, chat("i.s.1"), [](const auto&) { return true; });
    restart.join();
    CHECK(result.end == backend_outcome::lost);
}

// Guards against a queued run that is abandoned as silent.
TEST(engine, a_queued_run_is_not_silent)
{
    auto options = quick_engine();
    options.speed.slots = 1;
    options.speed.batching_delay = time_ms{1500};
    engine_setup setup{options};
    const auto result = setup.run("i.s.1");
    setup.check_whole(result);
    CHECK_EQUAL(0, result.resumes);
}

// Guards against starts on a leaving engine that are not counted.
TEST(engine, counts_starts_after_leaving)
{
    engine_setup setup;
    CHECK_EQUAL(200, setup.post("/admin/faults", R"({"leaving":true})").status);
    setup.run("i.s.1");
    CHECK_EQUAL(1, setup.get_json("/admin/stats").at("starts_after_leaving").get<int>());
    // The load report lags; `leaving` must show within 60 polls of 50 ms, 3 s plus request times.
    bool leaving = false;
    for (int tries = 0; tries < 60 && !leaving; ++tries) {
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
        leaving = setup.client.load(setup.engine.address())->leaving;
    }
    CHECK(leaving);
}

// Guards against a misspelt fault name that is silently ignored.
TEST(engine, refuses_an_unknown_fault)
{
    engine_setup setup;
    CHECK_EQUAL(400, setup.post("/admin/faults", R"({"slient_connections":1})").status);
    CHECK_EQUAL(400, setup.post("/admin/faults", R"({"delay_ms":-1})").status);
}

// Guards against an outdated operator that still gives work to engines that check.
TEST(engine, refuses_an_outdated_fencing_token)
{
    auto options = quick_engine();
    options.check_fencing = true;
    engine_setup setup{options};
    CHECK_EQUAL(200, setup.post("/v1/orders", R"({"fencing_token":"2"})").status);
    const auto result = setup.run("i.s.1");
    CHECK(result.end == backend_outcome::refused);
    CHECK_EQUAL(std::string{"fenced"}, result.error_type);
    CHECK(!result.key_marked);
}

TEST(engine, reports_its_load_with_a_lag)
{
    engine_setup setup;
    const auto report = setup.client.load(setup.engine.address());
    CHECK(report && report->slots == 8 && report->running == 0 && !report->leaving);
}

TEST_GROUP(run_tracker)
{
    engine_speed speed{1, 1, 1000, time_ms{10}, time_ms{1000}};
    engine_run_tracker run_tracker{speed, time_ms{0}};

    engine_denial start(const std::string& key, int priority, time_ms now)
    {
        return run_tracker.start({key, R"({"budget":"b"})", "two words", 5, priority}, now);
    }
};

// Guards against a queue that ignores the priority or grows without bound.
TEST(run_tracker, queues_by_priority_up_to_its_limit)
{
    CHECK(start("a", 0, time_ms{0}) == engine_denial::none);
    CHECK(start("b", 0, time_ms{0}) == engine_denial::none);
    CHECK(start("c", 9, time_ms{0}) == engine_denial::queue_full);
    CHECK_EQUAL(1, run_tracker.load().queued);
}

// Guards against spend that a cancel of a queued run reports although nothing ran.
TEST(run_tracker, a_cancelled_queued_run_has_no_usage)
{
    start("a", 0, time_ms{0});
    start("b", 0, time_ms{0});
    CHECK(run_tracker.cancel("b", time_ms{5}).used == (usage{0, 0}));
    CHECK(start("b", 0, time_ms{6}) == engine_denial::cancelled);
    CHECK(run_tracker.runs().count("b") == 0);
    run_tracker.advance(time_ms{100});
    CHECK_EQUAL(2, run_tracker.spend().at("b").prompt_tokens);
    CHECK_EQUAL(5, run_tracker.spend().at("b").completion_tokens);
}

// Guards against reporting "did not run" for a time before the oldest record kept.
TEST(run_tracker, forgets_after_the_retention_and_says_how_far_back_it_knows)
{
    start("a", 0, time_ms{0});
    run_tracker.advance(time_ms{100});
    CHECK(run_tracker.cancel("a", time_ms{500}).known);
    run_tracker.advance(time_ms{5000});
    const auto cancelled = run_tracker.cancel("a", time_ms{5000});
    CHECK(!cancelled.known);
    CHECK(cancelled.records_age == time_ms{1000});
}

TEST_GROUP(plain_service){};

TEST(plain_service, answers_what_the_caller_can_check)
{
    service_setup setup;
    const auto result = setup.call("k");
    CHECK(result.end == backend_outcome::ended);
    CHECK_EQUAL(service_answer("orders", R"({"order":"o"})"),
                nlohmann::json::parse(result.body).at("answer").get<std::string>());
}

// Guards against a call that is retried automatically, or reported as not run although it ran.
TEST(plain_service, an_answer_lost_after_the_run_is_lost_and_ran_once)
{
    service_setup setup;
    setup.service.set_faults({1});
    CHECK(setup.call("k").end == backend_outcome::lost);
    CHECK_EQUAL(1, setup.service.runs("k"));
    CHECK_EQUAL(1, setup.orders_run("o"));
    setup.service.set_faults({0, 1});
    CHECK(setup.call("l").end == backend_outcome::lost);
    CHECK_EQUAL(0, setup.service.runs("l"));
    setup.service.set_faults({0, 0, 1});
    CHECK(setup.call("m").end == backend_outcome::lost);
    CHECK_EQUAL(1, setup.service.runs("m"));
}

TEST_GROUP(fencing){};

// Guards against accepting a request of an old operator after one of its successor.
TEST(fencing, refuses_a_lower_token)
{
    fencing_check check;
    CHECK(check.accept("9.1"));
    CHECK(check.accept("10"));
    CHECK(!check.accept("9.2"));
    CHECK(!check.accept(""));
    CHECK(check.accept("10"));
}
