#include "backend/backend_client.h"

#include "backend/backend_refusal.h"
#include "backend/sse_parser.h"
#include "backend/stream_checker.h"
#include "core/clock.h"
#include "http/http_client.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace jujubevalve
{

namespace
{
using nlohmann::json;

/// Memory for the answers of plain calls and for error responses, all servers together. A response
/// may hold the guaranteed part however much the others use.
constexpr std::size_t response_memory_bytes = 64 * 1024 * 1024;
constexpr std::size_t guaranteed_response_bytes = 64 * 1024;
/// Max size of a load report or of the response to a cancel.
constexpr std::size_t max_control_bytes = 64 * 1024;

std::string url_of(const std::string& address, std::string_view path)
{
    return "http://" + address + std::string{path};
}

std::int64_t integer_at(const json& object, const char* name, std::int64_t default_value)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                               : default_value;
}

bool bool_at(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

std::optional<usage> usage_at(const json& object)
{
    const auto found = object.find("usage");
    if (found == object.end() || !found->is_object()) {
        return std::nullopt;
    }
    const usage used{integer_at(*found, "prompt_tokens", -1),
                     integer_at(*found, "completion_tokens", -1)};
    return used.prompt_tokens < 0 || used.completion_tokens < 0 ? std::nullopt
                                                                : std::optional{used};
}

cancel_result read_cancel(const json& body)
{
    cancel_result cancelled;
    cancelled.known = bool_at(body, "known");
    cancelled.marked_before = bool_at(body, "marked_before");
    cancelled.finished = bool_at(body, "finished");
    cancelled.records_age = time_ms{integer_at(body, "records_age_ms", 0)};
    cancelled.used = usage_at(body);
    const auto metadata = body.find("metadata");
    if (metadata != body.end() && metadata->is_string()) {
        cancelled.metadata = metadata->get<std::string>();
    }
    return cancelled;
}

// Counters of stream events and faults, cached so that each is looked up only once.
struct stream_counters {
    explicit stream_counters(counters& counts)
        : wrong_key{counts.at("backend_events_wrong_key")}
        , repeated{counts.at("backend_events_repeated")}
        , skipped{counts.at("backend_events_skipped")}
        , malformed{counts.at("backend_events_malformed")}
        , surplus{counts.at("backend_events_surplus")}
        , silent{counts.at("backend_streams_silent")}
        , broken{counts.at("backend_streams_broken")}
        , resumes{counts.at("backend_resumes")}
        , usage_missing{counts.at("backend_usage_missing")}
    {
    }

    counter& wrong_key;
    counter& repeated;
    counter& skipped;
    counter& malformed;
    counter& surplus;
    counter& silent;
    counter& broken;
    counter& resumes;
    counter& usage_missing;
};

// Parses the bytes of one HTTP exchange and passes the checked events to the sink.
class stream_reader
{
public:
    stream_reader(stream_checker& checker, const event_sink& sink, stream_counters& counts,
                  stream_result& result)
        : checker_{checker}
        , sink_{sink}
        , counts_{counts}
        , result_{result}
        , last_byte_{clock_.now()}
    {
    }

    // Returns false if the exchange must be aborted.
    bool consume(std::string_view bytes)
    {
        last_byte_ = clock_.now();
        for (const auto& event : parser_.feed(bytes)) {
            if (!handle_event(event)) {
                return false;
            }
        }
        if (parser_.failed()) {
            ++counts_.malformed;
        }
        return !parser_.failed();
    }

    [[nodiscard]] bool stopped() const { return stopped_; }
    [[nodiscard]] time_ms silent_for() const { return clock_.now() - last_byte_; }

private:
    bool handle_event(const sse_event& event)
    {
        if (event.data == "[DONE]") {
            return true;
        }
        const auto parsed = parse_engine_event(event.data);
        if (!parsed) {
            ++counts_.malformed;
            return false;
        }
        switch (checker_.check(*parsed)) {
        case event_verdict::deliver:
            return deliver(*parsed);
        case event_verdict::wrong_key:
            ++counts_.wrong_key;
            return true;
        case event_verdict::repeated:
            ++counts_.repeated;
            return true;
        case event_verdict::surplus:
            ++counts_.surplus;
            return true;
        case event_verdict::skipped:
            ++counts_.skipped;
            return false;
        }
        return false;
    }

    bool deliver(const engine_event& event)
    {
        if (event.used) {
            result_.used = event.used;
        }
        result_.next_index = checker_.next_index();
        stopped_ = !sink_(event) && !checker_.complete();
        return !stopped_;
    }

    stream_checker& checker_;
    const event_sink& sink_;
    stream_counters& counts_;
    stream_result& result_;
    sse_parser parser_;
    steady_clock_ms clock_;
    time_ms last_byte_;
    bool stopped_{false};
};

http_headers start_headers(const engine_request& request)
{
    return {{"Content-Type", "application/json"},
            {"X-Request-Key", request.key},
            {"X-Priority", std::to_string(request.priority)},
            {"X-Fencing-Token", request.fencing_token},
            {"X-Metadata", request.metadata}};
}
} // namespace

class backend_client::impl
{
public:
    impl(const backend_options& options, counters& counts)
        : options_{options}
        , counts_{counts}
    {
    }

    // Runs one streamed request, including its resumes.
    stream_result stream(const std::string& address, const engine_request& request,
                         const event_sink& sink, bool started)
    {
        stream_result result;
        result.next_index = request.from_index;
        stream_checker checker{request.key, request.from_index};
        resume_policy policy{options_.resume, started, request.from_index};
        const auto first_sent_at = clock_.now();
        auto call = started ? resume_call(address, request, request.from_index)
                            : start_call(address, request);
        while (true) {
            const auto step = policy.after(exchange(call, checker, sink, result));
            result.resumes = policy.resumes();
            if (step.action == resume_step::kind::finish) {
                result.end = step.end;
                result.key_marked =
                    result.end == backend_outcome::refused && result.error_type == "cancelled";
                break;
            }
            if (step.action == resume_step::kind::cancel) {
                cancel_unknown_key(address, request.key, first_sent_at, result);
                break;
            }
            ++counts_.resumes;
            std::this_thread::sleep_for(std::chrono::milliseconds{step.delay.count()});
            call = resume_call(address, request, checker.next_index());
        }
        if (result.end == backend_outcome::ended && !result.used) {
            ++counts_.usage_missing;
        }
        return result;
    }

    result<cancel_result> cancel(const std::string& address, const std::string& key)
    {
        http_call call{"POST", url_of(address, "/v1/cancel"), json_headers(),
                       json{{"key", key}}.dump()};
        call.connect_timeout = options_.connect_timeout;
        call.timeout = options_.control_timeout;
        call.max_body_bytes = max_control_bytes;
        http_client own_connection;
        const auto body = fetch(own_connection, call);
        if (!body) {
            return body.error();
        }
        return read_cancel(*body);
    }

    call_result call(const std::string& address, const plain_call& call)
    {
        http_call sent{"POST",
                       url_of(address, "/v1/calls/" + call.kind),
                       {{"Content-Type", "application/json"},
                        {"Idempotency-Key", call.idempotency_key},
                        {"X-Fencing-Token", call.fencing_token}},
                       call.body};
        sent.connect_timeout = options_.connect_timeout;
        sent.timeout = options_.call_timeout;
        sent.memory = &response_memory_;
        http_client own_connection;
        auto reply = own_connection.perform(sent);
        call_result result;
        if (reply.error) {
            result.end = *reply.error == http_error::not_delivered ? backend_outcome::not_delivered
                                                                   : backend_outcome::lost;
            return result;
        }
        result.http_status = reply.status;
        result.end = classify_call_response(reply.status, reply.body);
        result.retry_after = parse_refusal(reply.headers, reply.body).retry_after;
        const auto type = reply.headers.find("content-type");
        result.content_type = type == reply.headers.end() ? std::string{} : type->second;
        result.body = std::move(reply.body);
        return result;
    }

    result<server_load> load(const std::string& address)
    {
        http_call call{"GET", url_of(address, "/v1/load")};
        call.connect_timeout = options_.connect_timeout;
        call.timeout = options_.control_timeout;
        call.max_body_bytes = max_control_bytes;
        const auto body = fetch(load_connections_, call);
        if (!body) {
            return body.error();
        }
        server_load report;
        report.running = integer_at(*body, "running", -1);
        report.queued = integer_at(*body, "queued", -1);
        report.slots = integer_at(*body, "slots", -1);
        report.leaving = bool_at(*body, "leaving");
        report.age = time_ms{integer_at(*body, "age_ms", 0)};
        if (report.running < 0 || report.queued < 0 || report.slots < 1) {
            return failure{result_code::malformed_json,
                           address + " sent a load report without running, queued or slots"};
        }
        return report;
    }

private:
    static http_headers json_headers() { return {{"Content-Type", "application/json"}}; }

    [[nodiscard]] http_call stream_call(const std::string& address, std::string_view path) const
    {
        http_call call{"POST", url_of(address, path), json_headers()};
        call.connect_timeout = options_.connect_timeout;
        call.timeout = options_.stream_timeout;
        call.idle_timeout = options_.idle_timeout;
        call.max_body_bytes = max_control_bytes; // of an error response; events are streamed
        return call;
    }

    [[nodiscard]] http_call start_call(const std::string& address,
                                       const engine_request& request) const
    {
        auto call = stream_call(address, "/v1/chat/completions");
        call.headers = start_headers(request);
        call.body = to_engine_body(request);
        return call;
    }

    [[nodiscard]] http_call resume_call(const std::string& address, const engine_request& request,
                                        std::int64_t from) const
    {
        auto call = stream_call(address, "/v1/resume");
        call.headers["X-Fencing-Token"] = request.fencing_token;
        call.body = json{{"key", request.key}, {"from", from}}.dump();
        return call;
    }

    // Performs one HTTP exchange on a new connection and returns how it ended.
    attempt_end exchange(http_call& call, stream_checker& checker, const event_sink& sink,
                         stream_result& result)
    {
        stream_reader reader{checker, sink, counts_, result};
        call.on_data = [&reader](std::string_view bytes) { return reader.consume(bytes); };
        http_client own_connection;
        const auto reply = own_connection.perform(call);
        attempt_end ended;
        ended.next_index = checker.next_index();
        result.http_status = reply.status;
        if (checker.complete()) {
            ended.end = backend_outcome::ended;
        } else if (reader.stopped()) {
            ended.end = backend_outcome::stopped;
        } else if (!reply.error && !reply.ok()) {
            const auto refusal = parse_refusal(reply.headers, reply.body);
            ended.end = classify_engine_error(reply.status, refusal);
            ended.error_type = refusal.type;
            result.error_type = refusal.type;
            result.retry_after = refusal.retry_after;
        } else if (reply.error == http_error::not_delivered) {
            ended.end = backend_outcome::not_delivered;
        } else {
            ended.end = count_break(reply, reader);
        }
        return ended;
    }

    backend_outcome count_break(const http_reply& reply, const stream_reader& reader)
    {
        const bool silent = reply.error && reader.silent_for() >= options_.idle_timeout;
        ++(silent ? counts_.silent : counts_.broken);
        return silent ? backend_outcome::silent : backend_outcome::lost;
    }

    // Cancels a key that the engine does not know, so that the engine refuses a start request that
    // arrives late, and sets the result.
    void cancel_unknown_key(const std::string& address, const std::string& key,
                            time_ms first_sent_at, stream_result& result)
    {
        const auto cancelled = cancel(address, key);
        // Read after the response, so that the age is not underestimated.
        const auto age = clock_.now() - first_sent_at;
        const bool certain = cancelled && !cancelled->known && cancelled->records_age > age;
        result.end = resume_policy::after_cancel(certain);
        result.key_marked = cancelled.has_value();
        if (cancelled && cancelled->known) {
            result.used = cancelled->used;
        }
    }

    static result<json> fetch(http_client& client, const http_call& call)
    {
        const auto reply = client.perform(call);
        if (!reply.ok()) {
            return failure{result_code::backend_lost,
                           call.url + " gave no answer or status " + std::to_string(reply.status)};
        }
        auto body = json::parse(reply.body, nullptr, false);
        if (!body.is_object()) {
            return failure{result_code::malformed_json, call.url + " did not answer with JSON"};
        }
        return body;
    }

    backend_options options_;
    stream_counters counts_;
    steady_clock_ms clock_;
    buffer_memory response_memory_{response_memory_bytes, guaranteed_response_bytes};
    http_client load_connections_;
};

backend_client::backend_client(const backend_options& options, counters& counts)
    : impl_{std::make_unique<impl>(options, counts)}
{
}

backend_client::~backend_client() = default;

stream_result backend_client::run(const std::string& address, const engine_request& request,
                                  const event_sink& sink)
{
    return impl_->stream(address, request, sink, false);
}

stream_result backend_client::resume(const std::string& address, const engine_request& request,
                                     const event_sink& sink)
{
    return impl_->stream(address, request, sink, true);
}

result<cancel_result> backend_client::cancel(const std::string& address, const std::string& key)
{
    return impl_->cancel(address, key);
}

call_result backend_client::call(const std::string& address, const plain_call& call)
{
    return impl_->call(address, call);
}

result<server_load> backend_client::load(const std::string& address)
{
    return impl_->load(address);
}

} // namespace jujubevalve
