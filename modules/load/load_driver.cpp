#include "load/load_driver.h"

#include "core/clock.h"
#include "core/digest.h"
#include "http/http_client.h"
#include "load/answer_checker.h"
#include "load/attempt_policy.h"
#include "load/fleet_directory.h"
#include "standins/service_answer.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace jujubevalve
{

namespace
{
using nlohmann::json;
using clock_type = std::chrono::steady_clock;

double milliseconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::milli>{clock_type::now() - start}.count();
}

std::string_view name_of(load_request::kind kind)
{
    switch (kind) {
    case load_request::kind::chat:
        return "chat";
    case load_request::kind::streamed_chat:
        return "streamed_chat";
    case load_request::kind::call:
        break;
    }
    return "call";
}

std::string_view name_of(caller_outcome outcome)
{
    switch (outcome) {
    case caller_outcome::answered:
        return "answered";
    case caller_outcome::refused_not_run:
        return "refused_not_run";
    case caller_outcome::unreachable:
        return "unreachable";
    case caller_outcome::outcome_unknown:
        break;
    }
    return "outcome_unknown";
}

// One request from its first attempt to its outcome.
struct running_request {
    const load_request& request;
    attempt_policy policy;
    clock_type::time_point start{clock_type::now()};
    std::string address;
    std::string key_home;
    std::vector<std::string> keys;
    std::string resume; ///< value of the Jujubevalve-Resume header of an earlier attempt
    std::string last_error_type;
    std::int64_t tokens{0};
    std::vector<double> token_gaps;
    double first_token{-1};
    bool wrong{false};
};
} // namespace

class load_driver::impl
{
public:
    impl(load_options options, std::ostream* records)
        : options_{std::move(options)}
        , directory_{options_.routers, options_.accounts}
        , records_{records}
    {
    }

    void run()
    {
        start_ = clock_type::now();
        std::vector<std::thread> workers;
        workers.reserve(static_cast<std::size_t>(options_.concurrency));
        for (int i = 0; i < options_.concurrency; ++i) {
            workers.emplace_back([this] { work(); });
        }
        for (auto& worker : workers) {
            worker.join();
        }
    }

    [[nodiscard]] const load_stats& stats() const { return stats_; }

private:
    void work()
    {
        while (true) {
            const auto number = next_number_++;
            if (number >= options_.requests || !wait_for_start_time(number)) {
                return;
            }
            perform(make_request(options_.accounts, options_.mix, options_.seed, number));
        }
    }

    // Returns false once the run's duration has elapsed.
    bool wait_for_start_time(std::int64_t number)
    {
        const auto end = start_ + std::chrono::milliseconds{options_.duration.count()};
        if (options_.rate > 0) {
            const std::chrono::duration<double> offset{static_cast<double>(number) / options_.rate};
            const auto scheduled_start =
                start_ + std::chrono::duration_cast<clock_type::duration>(offset);
            std::this_thread::sleep_until(std::min(scheduled_start, end));
        }
        return clock_type::now() < end;
    }

    void perform(const load_request& request)
    {
        running_request running{request, attempt_policy{options_.limits, request.idempotent()}};
        auto step = attempt_step{attempt_step::kind::retry_new_key};
        while (true) {
            const auto ended = attempt(running, step);
            if (running.wrong) {
                stats_.add_wrong_answer();
                record(running, "wrong_or_partial");
                return;
            }
            stats_.add_attempt(ended);
            step = running.policy.after(ended);
            if (step.what == attempt_step::kind::finish) {
                finish(running, step.outcome);
                return;
            }
            const auto delay = std::min(step.delay, options_.max_retry_after);
            std::this_thread::sleep_for(std::chrono::milliseconds{delay.count()});
        }
    }

    void finish(running_request& running, caller_outcome outcome)
    {
        stats_.add_outcome(outcome, running.last_error_type);
        if (outcome == caller_outcome::answered) {
            stats_.add_request(milliseconds_since(running.start));
            stats_.add_tokens(running.tokens);
            if (running.first_token >= 0) {
                stats_.add_first_token(running.first_token);
            }
            for (const auto gap : running.token_gaps) {
                stats_.add_token_gap(gap);
            }
        }
        record(running, name_of(outcome));
    }

    void record(const running_request& running, std::string_view outcome)
    {
        if (records_ == nullptr) {
            return;
        }
        const auto& request = running.request;
        const json line{{"number", request.number},
                        {"kind", name_of(request.what)},
                        {"account", request.account.account},
                        {"order", request.order},
                        {"keys", running.keys},
                        {"outcome", outcome},
                        {"error_type", running.last_error_type},
                        {"completion_tokens", running.tokens}};
        const std::lock_guard lock{records_mutex_};
        *records_ << line.dump() << "\n";
    }

    attempt_result attempt(running_request& running, const attempt_step& step)
    {
        if (!prepare(running, step)) {
            running.last_error_type = "no_instance";
            return {attempt_result::kind::not_delivered, {}};
        }
        auto ended = running.request.what == load_request::kind::call   ? call(running)
                     : running.request.what == load_request::kind::chat ? chat(running)
                                                                        : streamed_chat(running);
        track_result(running, ended);
        return ended;
    }

    // Sets address and key for the next attempt. Returns false if no instance is available.
    bool prepare(running_request& running, const attempt_step& step)
    {
        const auto& request = running.request;
        const auto random = random_++;
        if (request.idempotent()) {
            if (running.keys.empty()) {
                running.keys.push_back(fmt::format("load-{}-{}", options_.seed, request.number));
            }
            running.address =
                directory_.choose(request.account, random, step.addresses, running.address);
            return !running.address.empty();
        }
        if (step.what == attempt_step::kind::retry_new_key) {
            return assign_prefixed_key(running, step, random);
        }
        running.address =
            directory_.choose(request.account, random, step.addresses, running.address);
        return !running.address.empty();
    }

    // A key of an instance other than the last one, if there is another. That instance is asked
    // first, because it alone runs requests with its keys.
    bool assign_prefixed_key(running_request& running, const attempt_step& step,
                             std::uint64_t random)
    {
        const auto& request = running.request;
        const auto answer =
            running.keys.empty()
                ? directory_.instances(request.account, random)
                : directory_.renew(request.account, random, step.addresses, running.key_home);
        if (!answer || answer->key_prefix.empty()) {
            return false;
        }
        running.keys.push_back(fmt::format("{}.{}-{}-{}", answer->key_prefix, options_.seed,
                                           request.number, running.keys.size()));
        running.key_home = answer->key_home;
        running.address = answer->key_home;
        return !running.address.empty();
    }

    void track_result(running_request& running, const attempt_result& ended)
    {
        if (ended.what == attempt_result::kind::error) {
            running.last_error_type = ended.error.type;
        } else if (ended.what == attempt_result::kind::answered) {
            running.last_error_type.clear();
        } else {
            running.last_error_type =
                ended.what == attempt_result::kind::lost ? "lost" : "not_delivered";
        }
        const bool refuses_all =
            ended.what == attempt_result::kind::error &&
            (ended.error.type == "draining" || ended.error.type == "not_ready");
        if (refuses_all || ended.what == attempt_result::kind::not_delivered ||
            ended.what == attempt_result::kind::lost) {
            directory_.avoid(running.request.account, running.address);
        }
    }

    [[nodiscard]] http_call make_call(const running_request& running) const
    {
        const auto& request = running.request;
        http_call call{"POST", "http://" + running.address + request.path()};
        call.headers = {{"Content-Type", "application/json"},
                        {"Authorization", "Bearer " + request.account.bearer_key},
                        {"Idempotency-Key", running.keys.back()}};
        if (!running.resume.empty()) {
            call.headers["Jujubevalve-Resume"] = running.resume;
        }
        call.body = request.body();
        call.timeout = options_.attempt_timeout;
        return call;
    }

    // Uses a new connection: if a reused one closes, curl silently sends the request again.
    static http_reply send(running_request& running, const http_call& call)
    {
        http_client own_connection;
        auto reply = own_connection.perform(call);
        const auto resume = reply.headers.find("jujubevalve-resume");
        if (resume != reply.headers.end()) {
            running.resume = resume->second;
        }
        return reply;
    }

    // Returns the result of a failed attempt, or nothing for a 2xx response.
    static std::optional<attempt_result> classify_failure(const http_reply& reply)
    {
        if (reply.error) {
            return attempt_result{*reply.error == http_error::not_delivered
                                      ? attempt_result::kind::not_delivered
                                      : attempt_result::kind::lost,
                                  {}};
        }
        if (!reply.ok()) {
            return attempt_result{attempt_result::kind::error,
                                  read_caller_error(reply.status, reply.headers, reply.body)};
        }
        return std::nullopt;
    }

    attempt_result call(running_request& running)
    {
        const auto reply = send(running, make_call(running));
        if (const auto failed = classify_failure(reply)) {
            return *failed;
        }
        const auto body = json::parse(reply.body, nullptr, false);
        const auto expected =
            service_answer(running.request.account.call_kind, running.request.body());
        running.wrong = !body.is_object() || body.value("answer", json{}) != expected;
        return {attempt_result::kind::answered, {}};
    }

    attempt_result chat(running_request& running)
    {
        const auto reply = send(running, make_call(running));
        if (const auto failed = classify_failure(reply)) {
            return *failed;
        }
        answer_checker checker{running.request.prompt, running.request.max_tokens};
        checker.check_body(reply.body);
        running.wrong = checker.wrong();
        running.tokens = checker.tokens();
        return {attempt_result::kind::answered, {}};
    }

    attempt_result streamed_chat(running_request& running)
    {
        answer_checker checker{running.request.prompt, running.request.max_tokens};
        running.token_gaps.clear();
        running.first_token = -1;
        auto last = clock_type::now();
        auto call = make_call(running);
        call.idle_timeout = options_.idle_timeout;
        call.on_data = [&](std::string_view bytes) {
            const auto tokens = checker.feed(bytes);
            if (tokens > 0 && running.first_token < 0) {
                running.first_token = milliseconds_since(running.start);
            } else if (tokens > 0) {
                // Tokens that arrive in one packet share the time since the last packet.
                running.token_gaps.insert(running.token_gaps.end(),
                                          static_cast<std::size_t>(tokens),
                                          milliseconds_since(last) / tokens);
            }
            last = tokens > 0 ? clock_type::now() : last;
            return !checker.wrong();
        };
        const auto reply = send(running, call);
        running.tokens = checker.tokens();
        running.wrong = checker.wrong();
        if (checker.ended()) {
            return {attempt_result::kind::answered, {}};
        }
        const auto failed = classify_failure(reply);
        return failed ? *failed : attempt_result{attempt_result::kind::lost, {}};
    }

    load_options options_;
    fleet_directory directory_;
    std::ostream* records_;
    std::mutex records_mutex_;
    load_stats stats_;
    clock_type::time_point start_;
    std::atomic<std::int64_t> next_number_{0};
    std::atomic<std::uint64_t> random_{0};
};

load_driver::load_driver(load_options options, std::ostream* records)
    : impl_{std::make_unique<impl>(std::move(options), records)}
{
}

load_driver::~load_driver() = default;

void load_driver::run()
{
    impl_->run();
}

const load_stats& load_driver::stats() const
{
    return impl_->stats();
}

} // namespace jujubevalve
