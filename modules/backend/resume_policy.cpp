#include "backend/resume_policy.h"

#include <algorithm>

namespace jujubevalve
{

resume_policy::resume_policy(resume_limits limits, bool started, std::int64_t first_index)
    : limits_{limits}
    , started_by_other_router_{started}
    , sent_{started}
    , first_index_{first_index}
    , last_index_{first_index}
{
}

resume_step resume_policy::after(const attempt_end& ended)
{
    if (ended.next_index > last_index_) {
        last_index_ = ended.next_index;
        resumes_without_progress_ = 0;
    }
    switch (ended.end) {
    case backend_outcome::ended:
    case backend_outcome::stopped:
        return {resume_step::kind::finish, ended.end, time_ms{0}};
    case backend_outcome::refused:
        return after_refusal(ended);
    case backend_outcome::not_delivered:
        if (!sent_) {
            return {resume_step::kind::finish, backend_outcome::not_delivered, time_ms{0}};
        }
        break;
    case backend_outcome::lost:
    case backend_outcome::silent:
        break;
    }
    return resume_or_finish(ended);
}

backend_outcome resume_policy::after_cancel(bool certainly_unknown)
{
    return certainly_unknown ? backend_outcome::not_delivered : backend_outcome::lost;
}

resume_step resume_policy::after_refusal(const attempt_end& ended)
{
    if (ended.error_type == "key_known") {
        return resume_or_finish(ended);
    }
    if (!sent_) {
        return {resume_step::kind::finish, backend_outcome::refused, time_ms{0}};
    }
    if (ended.error_type == "unknown_key" && !started_by_other_router_ &&
        last_index_ == first_index_) {
        return {resume_step::kind::cancel, backend_outcome::lost, time_ms{0}};
    }
    if (ended.error_type == "unknown_key" || ended.error_type == "cancelled") {
        return {resume_step::kind::finish, backend_outcome::lost, time_ms{0}};
    }
    return resume_or_finish(ended);
}

resume_step resume_policy::resume_or_finish(const attempt_end& ended)
{
    sent_ = true;
    if (resumes_without_progress_ >= limits_.max_resumes_without_progress) {
        const auto end =
            ended.end == backend_outcome::silent ? backend_outcome::silent : backend_outcome::lost;
        return {resume_step::kind::finish, end, time_ms{0}};
    }
    // The first resume after progress has no delay: most failures affect only one connection.
    time_ms delay{0};
    if (resumes_without_progress_ > 0) {
        delay =
            std::min(limits_.max_delay,
                     limits_.first_delay * (std::int64_t{1} << (resumes_without_progress_ - 1)));
    }
    ++resumes_without_progress_;
    ++resumes_;
    return {resume_step::kind::resume, ended.end, delay};
}

} // namespace jujubevalve
