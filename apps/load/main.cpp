#include "core/settings.h"
#include "load/load_driver.h"

#include <exception>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(routers, "", "bootstrap addresses of the fleet, ip:port,ip:port,...");
DEFINE_string(accounts, "",
              "file with a JSON list of {account, bearer_key, chat_kind, call_kind, weight}");
DEFINE_string(records, "", "file to write a JSON line to for each request");
DEFINE_int64(requests, 100, "number of requests to send");
DEFINE_int64(seconds, 30, "no request starts later than this");
DEFINE_int64(concurrency, 4, "requests that are open at the same time");
DEFINE_double(rate, 0, "requests started a second, 0 for as many as possible");
DEFINE_uint64(seed, 1, "seed of the requests; names their keys too, so use a new one for each run");
DEFINE_double(stream_share, 0.5, "share of the chat requests that are streamed");
DEFINE_double(call_share, 0.2, "share of the requests that are plain calls");
DEFINE_int64(prompt_words, 12, "words of a prompt");
DEFINE_int64(max_tokens, 64, "max_tokens of the chat requests");
DEFINE_int64(answer_tokens, 0, "length of the answers asked for, 0 to leave it to the engine");
DEFINE_int64(attempt_timeout_ms, 60000, "time of one attempt");
DEFINE_int64(idle_timeout_ms, 10000, "a stream without a byte for so long is lost");
DEFINE_bool(json, false, "print the results as JSON");

namespace
{
using namespace jujubevalve;

void check_share(settings_check& check, std::string_view flag, double value)
{
    if (value < 0 || value > 1) {
        check.fail(flag, std::to_string(value), "a number from 0 to 1");
    }
}

void check_settings()
{
    settings_check check;
    check.required("routers", FLAGS_routers);
    for (const auto& router : split_list(FLAGS_routers)) {
        check.address("routers", router);
    }
    check.required("accounts", FLAGS_accounts);
    check.range("requests", FLAGS_requests, 1, 100'000'000);
    check.range("seconds", FLAGS_seconds, 1, 86'400);
    check.range("concurrency", FLAGS_concurrency, 1, 2000);
    check.range("prompt_words", FLAGS_prompt_words, 1, 100'000);
    check.range("max_tokens", FLAGS_max_tokens, 1, 1'000'000);
    check.range("answer_tokens", FLAGS_answer_tokens, 0, 100'000);
    check.range("attempt_timeout_ms", FLAGS_attempt_timeout_ms, 100, 3'600'000);
    check.range("idle_timeout_ms", FLAGS_idle_timeout_ms, 100, 3'600'000);
    check_share(check, "stream_share", FLAGS_stream_share);
    check_share(check, "call_share", FLAGS_call_share);
    if (FLAGS_rate < 0) {
        check.fail("rate", std::to_string(FLAGS_rate), "a number of at least 0");
    }
    check.exit_on_error();
}

std::vector<load_account> read_accounts()
{
    const std::ifstream file{FLAGS_accounts};
    if (!file) {
        std::cerr << "error: --accounts=" << FLAGS_accounts << ": expected a file to read\n";
        std::exit(2);
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto accounts = parse_accounts(text.str());
    if (!accounts) {
        std::cerr << "error: --accounts=" << FLAGS_accounts << ": " << accounts.error().message
                  << "\n";
        std::exit(2);
    }
    return *accounts;
}

load_options read_options()
{
    load_options options;
    options.routers = split_list(FLAGS_routers);
    options.accounts = read_accounts();
    options.mix = {FLAGS_stream_share, FLAGS_call_share, static_cast<int>(FLAGS_prompt_words),
                   FLAGS_max_tokens, FLAGS_answer_tokens};
    options.requests = FLAGS_requests;
    options.duration = seconds(FLAGS_seconds);
    options.concurrency = static_cast<int>(FLAGS_concurrency);
    options.rate = FLAGS_rate;
    options.seed = FLAGS_seed;
    options.attempt_timeout = time_ms{FLAGS_attempt_timeout_ms};
    options.idle_timeout = time_ms{FLAGS_idle_timeout_ms};
    return options;
}

// Runs the load; returns the exit code.
int drive()
{
    std::ofstream records;
    if (!FLAGS_records.empty()) {
        records.open(FLAGS_records);
        if (!records) {
            std::cerr << "error: --records=" << FLAGS_records << ": expected a file to write to\n";
            return 2;
        }
    }
    load_driver driver{read_options(), FLAGS_records.empty() ? nullptr : &records};
    driver.run();
    std::cout << (FLAGS_json ? driver.stats().to_json() + "\n" : driver.stats().to_text());
    return driver.stats().totals().wrong_or_partial_answers == 0 ? 0 : 1;
}
} // namespace

int main(int argc, char** argv)
{
    read_settings("jujubevalve-load: callers that send requests to the fleet and check every "
                  "answer; exits 1 after a wrong or partial answer",
                  argc, argv);
    check_settings();
    try {
        return drive();
    } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 1;
    }
}
