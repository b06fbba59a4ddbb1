#include "backend/sse_parser.h"
#include "core/core.h"
#include "http/http_client.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

DEFINE_string(router, "", "ip:port of the router's caller API");
DEFINE_string(engine, "", "ip:port of an engine stand-in of the same speed");
DEFINE_string(bearer_key, "", "bearer key of a client account");
DEFINE_string(model, "grit-assist", "model that the account has a route for");
DEFINE_int64(requests, 100, "requests on each path");
DEFINE_int32(concurrency, 4, "requests that are open at the same time");
DEFINE_int32(tokens, 20, "tokens of an answer");

namespace
{
using namespace jujubevalve;
using clock_type = std::chrono::steady_clock;

// Times of one path in milliseconds.
struct path_times {
    std::vector<double> first_token;
    std::vector<double> between_tokens;
    std::int64_t failed{0};
};

double ms_between(clock_type::time_point from, clock_type::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

http_call make_call(bool through_router, std::int64_t number)
{
    const auto& address = through_router ? FLAGS_router : FLAGS_engine;
    http_call call{"POST", "http://" + address + "/v1/chat/completions"};
    call.headers["Content-Type"] = "application/json";
    if (through_router) {
        call.headers["Authorization"] = "Bearer " + FLAGS_bearer_key;
    } else {
        call.headers["X-Request-Key"] = fmt::format("path-measure-{}-{}", random_hex(4), number);
    }
    const auto prompt = fmt::format("request {} tokens={}", number, FLAGS_tokens);
    const nlohmann::json body{{"model", FLAGS_model},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}},
                              {"max_tokens", FLAGS_tokens},
                              {"stream", true}};
    call.body = body.dump();
    call.timeout = minutes(2);
    return call;
}

bool has_text(const sse_event& event)
{
    const auto chunk = nlohmann::json::parse(event.data, nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices") || chunk["choices"].empty()) {
        return false;
    }
    const auto& choice = chunk["choices"][0];
    return choice.contains("delta") && choice["delta"].contains("content") &&
           !choice["delta"]["content"].get<std::string>().empty();
}

void measure_one(bool through_router, std::int64_t number, path_times& kept, std::mutex& mutex)
{
    auto call = make_call(through_router, number);
    sse_parser parser;
    std::vector<clock_type::time_point> arrivals;
    call.on_data = [&](std::string_view bytes) {
        const auto now = clock_type::now();
        for (const auto& event : parser.feed(bytes)) {
            if (has_text(event)) {
                arrivals.push_back(now);
            }
        }
        return true;
    };
    http_client client;
    const auto begin = clock_type::now();
    const auto reply = client.perform(call);
    const std::lock_guard lock{mutex};
    if (!reply.ok() || arrivals.size() != static_cast<std::size_t>(FLAGS_tokens)) {
        ++kept.failed;
        return;
    }
    kept.first_token.push_back(ms_between(begin, arrivals.front()));
    for (std::size_t i = 1; i < arrivals.size(); ++i) {
        kept.between_tokens.push_back(ms_between(arrivals[i - 1], arrivals[i]));
    }
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(part * last)];
}

nlohmann::json to_json(const path_times& times)
{
    const auto of = [](const std::vector<double>& values) {
        return nlohmann::json{{"p50", percentile(values, 0.50)},
                              {"p95", percentile(values, 0.95)},
                              {"p99", percentile(values, 0.99)}};
    };
    return {{"answered", times.first_token.size()},
            {"failed", times.failed},
            {"first_token_ms", of(times.first_token)},
            {"between_tokens_ms", of(times.between_tokens)}};
}

// Alternates between the paths, so that other load on the machine affects both equally.
int measure()
{
    path_times direct;
    path_times routed;
    std::mutex mutex;
    std::atomic<std::int64_t> next{0};
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(FLAGS_concurrency));
    for (int i = 0; i < FLAGS_concurrency; ++i) {
        workers.emplace_back([&] {
            for (auto number = next++; number < 2 * FLAGS_requests; number = next++) {
                const bool through_router = number % 2 == 1;
                measure_one(through_router, number, through_router ? routed : direct, mutex);
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    std::cout << nlohmann::json{{"concurrency", FLAGS_concurrency},
                                {"tokens", FLAGS_tokens},
                                {"direct", to_json(direct)},
                                {"routed", to_json(routed)}}
              << "\n";
    return direct.failed + routed.failed == 0 ? 0 : 1;
}
} // namespace

int main(int argc, char** argv)
{
    read_settings("jujubevalve-path-measure: times the same streamed request through a router and "
                  "straight to an engine stand-in; prints JSON; exits 1 if a request failed",
                  argc, argv);
    settings_check check;
    check.address("router", FLAGS_router);
    check.address("engine", FLAGS_engine);
    check.required("bearer_key", FLAGS_bearer_key);
    check.range("requests", FLAGS_requests, 1, 1'000'000);
    check.range("concurrency", FLAGS_concurrency, 1, 500);
    check.range("tokens", FLAGS_tokens, 2, 10'000);
    check.exit_on_error();
    return measure();
}
