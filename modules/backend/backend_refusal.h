#pragma once

#include "backend/backend_outcome.h"
#include "core/time_ms.h"
#include "http/http_message.h"

#include <string>

namespace jujubevalve
{

/// Parsed error response of a backend server.
struct backend_refusal {
    std::string type;       ///< `error.type`, such as `leaving`; empty if the body has none
    bool not_run{false};    ///< `error.outcome` is `not_run`
    time_ms retry_after{0}; ///< from the Retry-After header, 0 if there is none

    friend bool operator==(const backend_refusal&, const backend_refusal&) = default;
};

/// Parses an error response. A body in another format leaves `type` and `not_run` at defaults.
backend_refusal parse_refusal(const http_headers& headers, const std::string& body);

/// Classifies an engine's response that is not 2xx: `refused` if the run is known not to have
/// started, `lost` otherwise.
backend_outcome classify_engine_error(int http_status, const backend_refusal& refusal);

} // namespace jujubevalve
