#pragma once

#include "http/http_client.h"
#include "load/load.h"

#include <atomic>
#include <string>
#include <vector>

namespace jujubevalve::process
{

/// Bearer key of the tests' only client account.
inline constexpr const char* bearer_key = "process-tests-bearer-key";

/// What a caller got for one attempt at a plain call.
struct call_reply {
    http_reply http;
    std::string type;    ///< of a refusal
    std::string outcome; ///< of a refusal: not_run or unknown

    [[nodiscard]] bool ok() const { return http.ok(); }
};

/// One attempt at a non-idempotent order. The body names the order, so that the service counts it.
call_reply place_order(const std::string& router, const std::string& key, const std::string& order,
                       int attempt, time_ms timeout = seconds(30));

/// The key prefix that a router issues; empty if it refuses.
std::string fetch_prefix(const std::string& router);

/// One chat request with all its attempts: the same key, the resume value of the last attempt and
/// a growing attempt number at the routers in turn, until an answer is whole.
class chat_caller
{
public:
    /// The answer has `tokens` tokens. The prompt contains the key, so that no two are alike.
    chat_caller(std::string key, int tokens);

    /// Makes attempts at the routers in turn until the answer is whole or `attempts` are used up.
    bool run(const std::vector<std::string>& routers, int attempts = 8);

    /// One attempt; true if the answer is whole.
    bool attempt(const std::string& router, time_ms idle = seconds(20));

    /// Whether some answer contained a token that was not due.
    [[nodiscard]] bool wrong() const { return wrong_; }

    /// Tokens received in the running attempt; may be read from another thread.
    [[nodiscard]] int received() const { return received_; }

    [[nodiscard]] int attempts() const { return attempts_; }
    [[nodiscard]] const std::string& last_error() const { return last_error_; }
    [[nodiscard]] const std::string& outcome() const { return outcome_; }
    [[nodiscard]] const std::string& type() const { return type_; }

private:
    std::string key_;
    std::string prompt_;
    int tokens_;
    std::string resume_;
    int attempts_{0};
    std::atomic<int> received_{0};
    bool wrong_{false};
    std::string last_error_;
    std::string outcome_;
    std::string type_;
};

} // namespace jujubevalve::process
