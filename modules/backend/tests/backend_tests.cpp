#include "backend/backend.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
engine_event event(const std::string& key, std::int64_t index, const std::string& finish = {})
{
    return {key, index, "text", finish, std::nullopt};
}

attempt_end ended(backend_outcome end, std::int64_t next_index, const std::string& type = {})
{
    return {end, type, next_index};
}

bool finishes(const resume_step& step, backend_outcome end)
{
    return step.action == resume_step::kind::finish && step.end == end;
}
} // namespace

TEST_GROUP(sse){};

// Guards against losing or truncating events that are split across packets.
TEST(sse, joins_events_that_arrive_byte_by_byte)
{
    sse_parser parser;
    std::vector<sse_event> events;
    for (const char c : std::string{": note\r\nid: 7\r\ndata: a\r\n\r\ndata: b\ndata: c\n\n"}) {
        for (auto& parsed : parser.feed({&c, 1})) {
            events.push_back(std::move(parsed));
        }
    }
    CHECK(events == (std::vector<sse_event>{{"7", "a"}, {"", "b\nc"}}));
}

// Guards against delivering a truncated event.
TEST(sse, does_not_return_an_incomplete_event)
{
    sse_parser parser;
    CHECK(parser.feed("data: {\"id\":\"a\"}\n").empty());
}

// Guards against unbounded memory use on a stream without line ends.
TEST(sse, fails_on_an_event_over_the_limit)
{
    sse_parser parser{8};
    parser.feed("data: 123456789");
    CHECK(parser.failed());
}

TEST_GROUP(stream_check){};

// Guards against foreign, late, duplicate and missing events in an answer.
TEST(stream_check, delivers_each_own_event_once_and_in_order)
{
    stream_checker checker{"a"};
    CHECK(checker.check(event("a", 0)) == event_verdict::deliver);
    CHECK(checker.check(event("b", 1)) == event_verdict::wrong_key);
    CHECK(checker.check(event("a", 0)) == event_verdict::repeated);
    CHECK(checker.check(event("a", 2)) == event_verdict::skipped);
    CHECK(checker.check(event("a", 1, "stop")) == event_verdict::deliver);
    CHECK(checker.complete());
    CHECK(checker.check(event("a", 2)) == event_verdict::surplus);
}

// Guards against the last event of another answer marking a partial answer as complete.
TEST(stream_check, a_foreign_last_event_does_not_complete_the_answer)
{
    stream_checker checker{"a"};
    checker.check(event("b", 0, "stop"));
    CHECK(!checker.complete());
}

TEST_GROUP(engine_chunk){};

// Guards against events altered by serialization, and against usage that was never reported.
TEST(engine_chunk, keeps_every_field)
{
    const engine_event sent{"k.1.2", 4, "w ", "stop", usage{3, 5}};
    CHECK(parse_engine_event(to_chunk(sent)) == sent);
    CHECK(parse_engine_event(to_chunk(event("k", 0))) == event("k", 0));
}

// Guards against accepting negative usage or chunks without key or index, which cannot be checked.
TEST(engine_chunk, rejects_incomplete_chunks_and_negative_usage)
{
    CHECK(!parse_engine_event("{\"id\":\"a\"}"));
    CHECK(!parse_engine_event("{\"index\":1}"));
    CHECK(!parse_engine_event("[1"));
    const auto chunk = parse_engine_event(
        R"({"id":"a","index":0,"usage":{"prompt_tokens":-1,"completion_tokens":2}})");
    CHECK(chunk && !chunk->used);
}

// Guards against a run that generates more tokens than were reserved.
TEST(engine_chunk, the_body_carries_the_reserved_max_tokens)
{
    const auto body = to_engine_body({"k", "", R"({"max_tokens":999,"model":"m"})", 0, 7});
    CHECK(body.find("\"max_tokens\":7") != std::string::npos);
    CHECK(body.find("\"model\":\"m\"") != std::string::npos);
}

TEST_GROUP(resuming){};

// Guards against reporting "not run" for a request that may have run, which a caller may repeat.
TEST(resuming, only_an_unsent_first_attempt_is_not_delivered)
{
    resume_policy fresh{{}, false};
    CHECK(finishes(fresh.after(ended(backend_outcome::not_delivered, 0)),
                   backend_outcome::not_delivered));

    resume_policy sent{{0}, false};
    CHECK(finishes(sent.after(ended(backend_outcome::lost, 0)), backend_outcome::lost));

    resume_policy resumed{{}, false};
    CHECK(resumed.after(ended(backend_outcome::silent, 0)).action == resume_step::kind::resume);
    CHECK(resumed.after(ended(backend_outcome::not_delivered, 0)).action ==
          resume_step::kind::resume);
}

// Guards against endless resumes, and against abandoning a stream that makes progress.
TEST(resuming, the_limit_counts_resumes_without_progress)
{
    resume_policy policy{{2}, false};
    CHECK(policy.after(ended(backend_outcome::lost, 1)).action == resume_step::kind::resume);
    CHECK(policy.after(ended(backend_outcome::lost, 1)).action == resume_step::kind::resume);
    CHECK(policy.after(ended(backend_outcome::lost, 2)).action == resume_step::kind::resume);
    CHECK(policy.after(ended(backend_outcome::lost, 2)).action == resume_step::kind::resume);
    CHECK(finishes(policy.after(ended(backend_outcome::silent, 2)), backend_outcome::silent));
    CHECK_EQUAL(4, policy.resumes());
}

// Guards against repeating a start while the first one may still arrive at the engine.
TEST(resuming, an_unknown_key_is_cancelled_before_it_counts_as_not_run)
{
    resume_policy policy{{}, false};
    policy.after(ended(backend_outcome::lost, 0));
    const auto step = policy.after(ended(backend_outcome::refused, 0, "unknown_key"));
    CHECK(step.action == resume_step::kind::cancel);
    CHECK(resume_policy::after_cancel(true) == backend_outcome::not_delivered);
    CHECK(resume_policy::after_cancel(false) == backend_outcome::lost);
}

// Guards against reporting "not run" for a run whose record the engine has lost.
TEST(resuming, an_unknown_key_is_lost_after_an_event_or_from_another_router)
{
    resume_policy with_event{{}, false};
    with_event.after(ended(backend_outcome::lost, 1));
    CHECK(finishes(with_event.after(ended(backend_outcome::refused, 1, "unknown_key")),
                   backend_outcome::lost));
    resume_policy other{{}, true};
    CHECK(finishes(other.after(ended(backend_outcome::refused, 0, "unknown_key")),
                   backend_outcome::lost));
}

// Guards against failing a request whose start curl or a retry delivered twice.
TEST(resuming, a_known_key_is_resumed)
{
    resume_policy policy{{}, false};
    CHECK(policy.after(ended(backend_outcome::refused, 0, "key_known")).action ==
          resume_step::kind::resume);
}

TEST_GROUP(response_classification){};

// Guards against reporting "not run" for a call that the service may have run.
TEST(response_classification, a_plain_call_is_refused_only_if_the_service_says_so)
{
    CHECK(classify_call_response(503, R"({"error":{"outcome":"not_run"}})") ==
          backend_outcome::refused);
    CHECK(classify_call_response(503, "") == backend_outcome::lost);
    CHECK(classify_call_response(500, R"({"error":{"outcome":"unknown"}})") ==
          backend_outcome::lost);
    CHECK(classify_call_response(422, "no stock") == backend_outcome::ended);
    CHECK(classify_call_response(200, "[]") == backend_outcome::ended);
}

TEST(response_classification, engine_errors)
{
    CHECK(classify_engine_error(429, {}) == backend_outcome::refused);
    CHECK(classify_engine_error(502, {}) == backend_outcome::lost);
    CHECK(classify_engine_error(408, {}) == backend_outcome::lost);
    CHECK(classify_engine_error(503, {"leaving", true}) == backend_outcome::refused);
}
