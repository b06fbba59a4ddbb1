#pragma once

#include "core/core.h"
#include "router/execution.h"

#include <memory>
#include <string>
#include <vector>

namespace jujubevalve
{

/// A caller's request: credentials, retry headers and body.
struct caller_request {
    std::string bearer_key;
    std::string idempotency_key; ///< empty if the caller gave none
    std::string resume;          ///< value of Jujubevalve-Resume, empty if the caller gave none
    int attempt{0};              ///< the caller's attempt number; 0 if not given
    std::string body;

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/// Why a request was refused, as reported to the caller.
struct refusal {
    failure error;
    run_outcome outcome{run_outcome::not_run};
    time_ms retry_after{0};                   ///< 0: not specified
    std::vector<std::string> retry_addresses; ///< addresses where the caller may retry

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// Returns a refusal with the default outcome of the error code.
inline refusal refuse(failure error)
{
    const auto outcome = describe(error.code).outcome;
    return {std::move(error), outcome, {}, {}};
}

/// The answer of a plain service, or the refusal.
struct call_answer {
    std::optional<refusal> refused;
    int http_status{200};
    std::string content_type;
    std::string body;

    friend bool operator==(const call_answer&, const call_answer&) = default;
};

/// Result of starting a chat: the execution to read from, or the refusal.
struct chat_start {
    std::optional<refusal> refused;
    std::shared_ptr<execution> running;
    bool stream{false};
    std::string model;
};

} // namespace jujubevalve
