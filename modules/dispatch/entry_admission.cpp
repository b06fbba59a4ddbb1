#include "dispatch/entry_admission.h"

#include <algorithm>
#include <cmath>

namespace jujubevalve
{

namespace
{
/// Max time that what was let in waits on its way in. Small against a latency objective, so that
/// nearly all of that is left for the server.
constexpr double max_wait_ms = 60;
/// Max time between the arrival of a request and its sending to a server. The server may announce
/// its end meanwhile.
constexpr double max_hold_ms = 500;
/// Time on the link that the requests of connections which wait to be accepted may take.
constexpr double max_backlog_ms = 25;
constexpr int min_backlog = 8;
constexpr int max_backlog = 512;
/// Share of the capacity that is used, since requests differ in size and the link carries
/// acknowledgements too.
constexpr double used_share = 0.9;
/// Size of a request with its answer until some are known.
constexpr double initial_bytes_per_request = 4096;
constexpr double request_weight = 1.0 / 32;
constexpr time_ms background_interval{1000};
constexpr double background_weight = 0.5;
/// What is received beside requests never leaves less than this for them.
constexpr double min_request_share = 0.5;
} // namespace

entry_admission::entry_admission(entry_capacity capacity)
    : capacity_{capacity}
    , bytes_per_request_{initial_bytes_per_request}
{
}

double entry_admission::service_time() const
{
    const auto link_rate = std::max(capacity_.bytes_per_ms * used_share - background_bytes_per_ms_,
                                    capacity_.bytes_per_ms * min_request_share);
    return std::max(bytes_per_request_ / link_rate, 1 / (capacity_.requests_per_ms * used_share));
}

double entry_admission::wait(time_ms now) const
{
    return std::max(0.0, busy_until_ - static_cast<double>(now.count()));
}

int entry_admission::room(int most, time_ms now) const
{
    const auto room_ms = max_wait_ms - wait(now);
    return room_ms <= 0 ? 0
                        : static_cast<int>(std::min(static_cast<double>(most),
                                                    std::ceil(room_ms / service_time())));
}

time_ms entry_admission::room_expected_in(time_ms now) const
{
    const auto excess = wait(now) - max_wait_ms;
    return excess < 0 ? time_ms{0} : time_ms{static_cast<std::int64_t>(excess) + 1};
}

bool entry_admission::is_overrun(time_ms now) const
{
    return wait(now) > max_hold_ms;
}

void entry_admission::admitted(time_ms now)
{
    busy_until_ = static_cast<double>(now.count()) + wait(now) + service_time();
}

void entry_admission::request_ended(std::int64_t bytes)
{
    request_bytes_ += bytes;
    bytes_per_request_ += (static_cast<double>(bytes) - bytes_per_request_) * request_weight;
}

void entry_admission::observe(std::int64_t received, time_ms now)
{
    if (is_observed_ && now - observed_at_ < background_interval) {
        return;
    }
    if (is_observed_) {
        const auto beside_requests = std::max<std::int64_t>(
            0, received - observed_bytes_ - (request_bytes_ - observed_request_bytes_));
        const auto rate = static_cast<double>(beside_requests) /
                          static_cast<double>((now - observed_at_).count());
        background_bytes_per_ms_ += (rate - background_bytes_per_ms_) * background_weight;
    }
    is_observed_ = true;
    observed_at_ = now;
    observed_bytes_ = received;
    observed_request_bytes_ = request_bytes_;
}

int entry_admission::backlog() const
{
    return std::clamp(
        static_cast<int>(max_backlog_ms * capacity_.bytes_per_ms / bytes_per_request_), min_backlog,
        max_backlog);
}

} // namespace jujubevalve
