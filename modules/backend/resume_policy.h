#pragma once

#include "backend/backend_end.h"
#include "core/time_ms.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// How one exchange of a streamed request ended.
struct attempt_end {
    backend_end end{backend_end::lost};
    std::string error_type;     ///< of a refusal: `key_known`, `unknown_key`, `leaving`, ...
    std::int64_t next_index{0}; ///< index after the last event delivered so far
};

/// The next step for a streamed request.
struct resume_step {
    enum class kind { finish, resume, cancel };
    kind what{kind::finish};
    backend_end end{backend_end::lost}; ///< for finish
    time_ms delay{0};                   ///< for resume: how long to wait first

    friend bool operator==(const resume_step&, const resume_step&) = default;
};

/// Limits of a resume_policy.
struct resume_limits {
    int resumes_without_progress{4};
    time_ms first_delay{20}; ///< doubles with each resume that brings no event
    time_ms longest_delay{1000};
};

/// Decides after each exchange of one streamed request whether to resume it, to cancel it, or
/// what to report. One object serves one request.
class resume_policy
{
public:
    /// `started` is true if another router sent the request; an engine that does not know such a
    /// request may have forgotten it, so this is never reported as not run.
    resume_policy(resume_limits limits, bool started, std::int64_t first_index = 0);

    /// The step after an exchange. `cancel` asks the caller to cancel the key and to report the
    /// answer with `after_cancel`.
    resume_step after(const attempt_end& ended);

    /// The end after the cancel of a key. `unknown_for_certain` is true if the engine answered that
    /// it does not know the key and its records go back to before the key was first sent.
    [[nodiscard]] static backend_end after_cancel(bool unknown_for_certain);

    /// Number of resumes asked for so far.
    [[nodiscard]] int resumes() const { return resumes_; }

private:
    resume_step after_refusal(const attempt_end& ended);
    resume_step resume_or_give_up(const attempt_end& ended);

    resume_limits limits_;
    bool by_other_router_;
    bool sent_;
    std::int64_t first_index_;
    std::int64_t last_index_;
    int without_progress_{0};
    int resumes_{0};
};

} // namespace jujubevalve
