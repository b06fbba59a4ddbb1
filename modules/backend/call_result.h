#pragma once

#include "backend/backend_outcome.h"
#include "core/time_ms.h"

#include <string>

namespace jujubevalve
{

/// Outcome of a call to a plain service.
struct call_result {
    backend_outcome end{backend_outcome::lost};
    int http_status{0}; ///< 0 if there was no response
    std::string content_type;
    std::string body;
    time_ms retry_after{0}; ///< of a refusal, 0 if not given
};

/// Classifies a response of a plain service: `refused` if `error.outcome` in the body is `not_run`;
/// otherwise `lost` for 5xx, 408 and 1xx, where the call may have run, and `ended` for the rest.
backend_outcome classify_call_response(int http_status, const std::string& body);

} // namespace jujubevalve
