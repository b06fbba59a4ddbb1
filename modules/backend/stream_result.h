#pragma once

#include "backend/backend_outcome.h"
#include "backend/usage.h"
#include "core/time_ms.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubevalve
{

/// Outcome of a streamed chat request, including all its resumes.
struct stream_result {
    backend_outcome end{backend_outcome::lost};
    std::optional<usage> used;  ///< reported by the engine; may be missing even if ended
    std::int64_t next_index{0}; ///< index after the last event delivered
    int resumes{0};
    /// The engine has recorded the key as cancelled and refuses it, so the key must not be reused
    /// even if the request did not run.
    bool key_marked{false};
    int http_status{0};     ///< of the last response, 0 if none
    std::string error_type; ///< of a refusal: `leaving`, `queue_full`, `fenced`, ...
    time_ms retry_after{0}; ///< of a refusal, 0 if not given
};

} // namespace jujubevalve
