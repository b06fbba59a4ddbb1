#pragma once

#include "core/core.h"
#include "router/execution.h"

#include <memory>
#include <string>
#include <vector>

namespace jujubevalve
{

/// What a caller sent besides the body.
struct caller_request {
    std::string bearer_key;
    std::string idempotency_key; ///< empty if the caller gave none
    std::string resume;          ///< value of Jujubevalve-Resume, empty if the caller gave none
    int attempt{0};              ///< the caller's number of this attempt, 0 if it does not count
    std::string body;

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/// Why a request got no answer, as the caller is told.
struct refusal {
    failure why;
    run_outcome outcome{run_outcome::not_run};
    time_ms retry_after{0};            ///< 0: no advice
    std::vector<std::string> try_next; ///< addresses where the caller may retry

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// Makes a refusal with the default outcome of its code.
inline refusal refuse(failure error)
{
    const auto outcome = describe(error.code).outcome;
    return {std::move(error), outcome, {}, {}};
}

/// An answer of a plain service, or the refusal.
struct call_answer {
    std::optional<refusal> refused;
    int http_status{200};
    std::string content_type;
    std::string body;

    friend bool operator==(const call_answer&, const call_answer&) = default;
};

/// A chat that has been accepted: the execution to read from, or the refusal.
struct chat_start {
    std::optional<refusal> refused;
    std::shared_ptr<execution> running;
    bool stream{false};
    std::string model;
};

} // namespace jujubevalve
