#pragma once

#include "backend/backend_end.h"
#include "core/time_ms.h"

#include <string>

namespace jujubevalve
{

/// What became of a call of a plain service.
struct call_result {
    backend_end end{backend_end::lost};
    int http_status{0}; ///< 0 if there was no response
    std::string content_type;
    std::string body;
    time_ms retry_after{0}; ///< of a refusal, 0 if not given
};

/// Judges a response of a plain service. A body with `error.outcome` = `not_run` is a refusal;
/// a status of 5xx without it leaves open whether the call ran; all else is the service's answer.
backend_end judge_call(int http_status, const std::string& body);

} // namespace jujubevalve
