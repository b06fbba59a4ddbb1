#include "standins/engine_standin.h"

#include "backend/engine_event.h"
#include "core/clock.h"
#include "http/http_server.h"
#include "standins/fencing_check.h"
#include "standins/standin_response.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace jujubevalve
{

namespace
{
using nlohmann::json;

constexpr std::chrono::milliseconds tick_interval{5};
constexpr std::int64_t default_max_tokens = 4096;

int priority_of(const http_request& request)
{
    const auto text = request.header("x-priority");
    int priority = 0;
    std::from_chars(text.data(), text.data() + text.size(), priority);
    return std::clamp(priority, 0, 9);
}

std::string text_at(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::int64_t number_at(const json& object, const char* name, std::int64_t otherwise)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                               : otherwise;
}

json usage_json(const usage& used)
{
    return {{"prompt_tokens", used.prompt_tokens},
            {"completion_tokens", used.completion_tokens},
            {"total_tokens", used.total()}};
}

http_response denied(engine_denial denial)
{
    switch (denial) {
    case engine_denial::key_known:
        return error_response(409, "key_known", false);
    case engine_denial::cancelled:
        return error_response(409, "cancelled", false);
    case engine_denial::queue_full: {
        auto response = error_response(429, "queue_full", true);
        response.headers["Retry-After"] = "1";
        return response;
    }
    case engine_denial::unknown_key:
    case engine_denial::none:
        break;
    }
    return error_response(404, "unknown_key", false);
}

// Decrements a fault count; returns false if it was already 0.
bool consume_fault(std::int64_t& count)
{
    return count > 0 && count-- > 0;
}
} // namespace

class engine_standin::impl
{
public:
    explicit impl(const engine_standin_options& options)
        : options_{options}
        , tracker_{options.speed, clock_.now()}
        , server_{server_options(options),
                  [this](const http_request& request) { return handle(request); }}
        , ticker_{[this] { run_ticks(); }}
    {
    }

    ~impl()
    {
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        changed_.notify_all();
        ticker_.join();
        server_.stop();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    [[nodiscard]] std::string address() const { return server_.address(); }

    void set_faults(const engine_faults& faults)
    {
        const std::lock_guard lock{mutex_};
        change_faults_locked(faults);
    }

private:
    // A connection that streams a run's events.
    struct open_stream {
        std::string key;
        std::int64_t next{0};
        std::int64_t sent{0};
        bool done{false};
    };

    static http_server_options server_options(const engine_standin_options& options)
    {
        http_server_options server;
        server.address = options.address;
        // A silenced connection must not be closed as idle.
        server.idle_timeout = minutes(60);
        return server;
    }

    void run_ticks()
    {
        std::unique_lock lock{mutex_};
        while (!stopping_) {
            const auto now = clock_.now();
            tracker_.advance(now);
            record_load(now);
            changed_.notify_all();
            lock.unlock();
            std::this_thread::sleep_for(tick_interval);
            lock.lock();
        }
    }

    void record_load(time_ms now)
    {
        if (!loads_.empty() && now - loads_.back().first < time_ms{options_.load_lag.count() / 2}) {
            return;
        }
        auto report = tracker_.load();
        report.leaving = faults_.leaving;
        loads_.emplace_back(now, report);
        // Keeps at the front the newest report that is at least `load_lag` old.
        while (loads_.size() > 1 && now - loads_[1].first >= options_.load_lag) {
            loads_.pop_front();
        }
    }

    http_response handle(const http_request& request)
    {
        const auto& path = request.path;
        if (request.method == "GET" && path == "/v1/load") {
            return load();
        }
        if (request.method == "GET" && path == "/admin/stats") {
            return stats();
        }
        if (request.method != "POST") {
            return error_response(405, "method_not_allowed", true);
        }
        if (path == "/v1/chat/completions") {
            return start(request);
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return error_response(400, "malformed_json", true);
        }
        if (path == "/v1/resume") {
            return resume(body);
        }
        if (path == "/v1/cancel") {
            return cancel(body);
        }
        if (path == "/v1/orders") {
            return order(body);
        }
        if (path == "/admin/faults") {
            return faults(request.body);
        }
        return error_response(404, "unknown_path", true);
    }

    http_response start(const http_request& request)
    {
        const auto body = json::parse(request.body, nullptr, false);
        const std::string key{request.header("x-request-key")};
        if (!body.is_object() || key.empty()) {
            return error_response(400, "malformed_request", true);
        }
        const engine_start requested{
            key, std::string{request.header("x-metadata")}, prompt_of(request.body),
            number_at(body, "max_tokens", default_max_tokens), priority_of(request)};
        std::unique_lock lock{mutex_};
        wait(lock, faults_.delay);
        if (faults_.refuse_starts) {
            return error_response(503, "leaving", true);
        }
        if (options_.check_fencing && !fencing_.accept(request.header("x-fencing-token"))) {
            ++fenced_;
            return error_response(409, "fenced", true);
        }
        const auto denial = tracker_.start(requested, clock_.now());
        if (denial != engine_denial::none) {
            ++starts_denied_;
            return denied(denial);
        }
        count_start();
        return stream_from(key, 0);
    }

    void count_start()
    {
        ++starts_;
        if (faults_.leaving) {
            ++starts_after_leaving_;
            latest_start_after_leaving_ = clock_.now() - leaving_since_;
        }
    }

    http_response resume(const json& body)
    {
        const std::lock_guard lock{mutex_};
        const auto key = text_at(body, "key");
        const auto denial = tracker_.find(key);
        if (denial != engine_denial::none) {
            ++resumes_denied_;
            return denied(denial);
        }
        ++resumes_;
        return stream_from(key, std::max<std::int64_t>(0, number_at(body, "from", 0)));
    }

    http_response cancel(const json& body)
    {
        const std::lock_guard lock{mutex_};
        const auto cancelled = tracker_.cancel(text_at(body, "key"), clock_.now());
        ++cancels_;
        changed_.notify_all();
        json answer{{"known", cancelled.known},
                    {"marked_before", cancelled.marked_before},
                    {"finished", cancelled.finished},
                    {"metadata", cancelled.metadata},
                    {"records_age_ms", cancelled.records_age.count()}};
        if (cancelled.used && !faults_.usage_missing) {
            answer["usage"] = usage_json(*cancelled.used);
        }
        return json_response(200, answer);
    }

    http_response order(const json& body)
    {
        const std::lock_guard lock{mutex_};
        if (options_.check_fencing && !fencing_.accept(text_at(body, "fencing_token"))) {
            ++fenced_;
            return error_response(409, "fenced", true);
        }
        ++orders_;
        return json_response(200, {{"accepted", true}});
    }

    http_response load()
    {
        const std::lock_guard lock{mutex_};
        const auto& [taken, report] = loads_.front();
        return json_response(200, {{"running", report.running},
                                   {"queued", report.queued},
                                   {"slots", report.slots},
                                   {"leaving", report.leaving},
                                   {"age_ms", (clock_.now() - taken).count()}});
    }

    http_response stats()
    {
        const std::lock_guard lock{mutex_};
        tracker_.advance(clock_.now());
        json budgets = json::object();
        for (const auto& [name, spent] : tracker_.spend()) {
            budgets[name] = {{"prompt_tokens", spent.prompt_tokens},
                             {"completion_tokens", spent.completion_tokens},
                             {"total_tokens", spent.prompt_tokens + spent.completion_tokens}};
        }
        const auto load = tracker_.load();
        return json_response(
            200, {{"budgets", budgets},
                  {"runs", tracker_.runs()},
                  {"starts", starts_},
                  {"starts_denied", starts_denied_},
                  {"resumes", resumes_},
                  {"resumes_denied", resumes_denied_},
                  {"cancels", cancels_},
                  {"orders", orders_},
                  {"fenced", fenced_},
                  {"running", load.running},
                  {"queued", load.queued},
                  {"starts_after_leaving", starts_after_leaving_},
                  {"latest_start_after_leaving_ms", latest_start_after_leaving_.count()}});
    }

    http_response faults(const std::string& body)
    {
        const std::lock_guard lock{mutex_};
        const auto changed = change_faults(faults_, body);
        if (!changed) {
            return json_response(400, {{"error",
                                        {{"type", describe(changed.error().code).name},
                                         {"message", changed.error().message}}}});
        }
        change_faults_locked(*changed);
        return json_response(200, json::object());
    }

    void change_faults_locked(const engine_faults& faults)
    {
        if (faults.leaving && !faults_.leaving) {
            leaving_since_ = clock_.now();
        }
        faults_ = faults;
        changed_.notify_all();
    }

    http_response stream_from(const std::string& key, std::int64_t from)
    {
        http_response response;
        response.headers["Content-Type"] = "text/event-stream";
        response.headers["Cache-Control"] = "no-store";
        response.stream = [this, stream = open_stream{key, from}](std::string& bytes) mutable {
            return next_bytes(stream, bytes);
        };
        return response;
    }

    // Releases the lock for `duration`; returns early on shutdown.
    void wait(std::unique_lock<std::mutex>& lock, time_ms duration)
    {
        changed_.wait_for(lock, std::chrono::milliseconds{duration.count()},
                          [this] { return stopping_; });
    }

    stream_step next_bytes(open_stream& stream, std::string& bytes)
    {
        std::unique_lock lock{mutex_};
        if (stream.done) {
            return stream_step::end;
        }
        const auto heartbeat_at = clock_.now() + options_.heartbeat;
        while (!stopping_) {
            const auto progress = tracker_.read(stream.key, stream.next);
            if (progress.what == run_progress::state::unavailable) {
                return stream_step::cut;
            }
            if (progress.what != run_progress::state::waiting) {
                return send(lock, stream, progress, bytes);
            }
            if (clock_.now() >= heartbeat_at) {
                bytes = ": waiting\n\n";
                return stream_step::data;
            }
            changed_.wait(lock);
        }
        return stream_step::cut;
    }

    stream_step send(std::unique_lock<std::mutex>& lock, open_stream& stream,
                     const run_progress& progress, std::string& bytes)
    {
        if (stream.sent >= faults_.silent_after && consume_fault(faults_.silent_connections)) {
            changed_.wait(lock, [this] { return stopping_; });
            return stream_step::cut;
        }
        if (stream.sent >= faults_.cut_after && consume_fault(faults_.cut_connections)) {
            return stream_step::cut;
        }
        engine_event event{stream.key, stream.next, progress.text, progress.finish, std::nullopt};
        ++stream.next;
        if (progress.what == run_progress::state::last) {
            stream.done = true;
            if (!faults_.usage_missing) {
                event.used = progress.used;
            }
        }
        write(event, stream, bytes);
        return stream_step::data;
    }

    void write(const engine_event& event, open_stream& stream, std::string& bytes)
    {
        if (consume_fault(faults_.crossed_answers)) {
            auto crossed = event;
            crossed.key = tracker_.other_key(event.key);
            crossed.text = "other ";
            bytes += "data: " + to_chunk(crossed) + "\n\n";
        }
        const bool skip = !stream.done && consume_fault(faults_.skipped_events);
        const int copies = skip ? 0 : (consume_fault(faults_.repeated_events) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            bytes += "data: " + to_chunk(event) + "\n\n";
        }
        // Each step must produce bytes, so a skipped event is replaced by an empty comment.
        bytes += stream.done ? "data: [DONE]\n\n" : (skip ? ": \n\n" : "");
        ++stream.sent;
    }

    engine_standin_options options_;
    steady_clock_ms clock_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_{false};
    engine_run_tracker tracker_;
    engine_faults faults_;
    fencing_check fencing_;
    std::deque<std::pair<time_ms, server_load>> loads_{{clock_.now(), tracker_.load()}};
    time_ms leaving_since_{0};
    time_ms latest_start_after_leaving_{0};
    std::int64_t starts_{0};
    std::int64_t starts_denied_{0};
    std::int64_t resumes_{0};
    std::int64_t resumes_denied_{0};
    std::int64_t cancels_{0};
    std::int64_t orders_{0};
    std::int64_t fenced_{0};
    std::int64_t starts_after_leaving_{0};
    http_server server_;
    std::thread ticker_;
};

engine_standin::engine_standin(const engine_standin_options& options)
    : impl_{std::make_unique<impl>(options)}
{
}

engine_standin::~engine_standin() = default;

std::string engine_standin::address() const
{
    return impl_->address();
}

void engine_standin::set_faults(const engine_faults& faults)
{
    impl_->set_faults(faults);
}

} // namespace jujubevalve
