#pragma once

#include "backend/backend_outcome.h"
#include "core/time_ms.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// How one HTTP exchange of a streamed request ended.
struct attempt_end {
    backend_outcome end{backend_outcome::lost};
    std::string error_type;     ///< of a refusal: `key_known`, `unknown_key`, `leaving`, ...
    std::int64_t next_index{0}; ///< index after the last event delivered so far
};

/// The next step for a streamed request.
struct resume_step {
    enum class kind { finish, resume, cancel };
    kind action{kind::finish};
    backend_outcome end{backend_outcome::lost}; ///< result to report, for finish
    time_ms delay{0};                           ///< before the resume

    friend bool operator==(const resume_step&, const resume_step&) = default;
};

/// Limits of a resume_policy.
struct resume_limits {
    int max_resumes_without_progress{4}; ///< max consecutive resumes that bring no event
    time_ms first_delay{20}; ///< of the second such resume; doubles with each further one
    time_ms max_delay{1000};
};

/// Decides after each HTTP exchange of a streamed request whether to resume it, to cancel it or to
/// finish, and with which result. Use one object per request.
class resume_policy
{
public:
    /// `started` is true if another router sent the request. If the engine does not know such a
    /// request, it may have lost its record, so the request is never reported as not run.
    resume_policy(resume_limits limits, bool started, std::int64_t first_index = 0);

    /// Returns the next step after an exchange. For `cancel`, the caller cancels the key and gets
    /// the result to report from `after_cancel`.
    resume_step after(const attempt_end& ended);

    /// Returns the result after a cancel. `certainly_unknown` is true if the engine answered that
    /// it does not know the key and its records predate the first send of the key.
    [[nodiscard]] static backend_outcome after_cancel(bool certainly_unknown);

    /// Returns the number of resumes requested so far.
    [[nodiscard]] int resumes() const { return resumes_; }

private:
    resume_step after_refusal(const attempt_end& ended);
    resume_step resume_or_finish(const attempt_end& ended);

    resume_limits limits_;
    bool started_by_other_router_;
    bool sent_;
    std::int64_t first_index_;
    std::int64_t last_index_;
    int resumes_without_progress_{0};
    int resumes_{0};
};

} // namespace jujubevalve
