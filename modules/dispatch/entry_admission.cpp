#include "dispatch/entry_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Max time that what was let in waits on its way in. Small against a latency objective, so that
/// nearly all of that is left for the server.
constexpr double max_wait_ms = 60;
/// Time on the link that connections which wait to be accepted may take.
constexpr double max_backlog_ms = 25;
constexpr int min_backlog = 8;
constexpr int max_backlog = 512;
/// Share of the capacity that is used, since requests differ in size and the link carries
/// acknowledgements too.
constexpr double used_share = 0.9;
/// Size of a request with its answer until some are known.
constexpr double initial_bytes_per_request = 4096;
constexpr double request_weight = 1.0 / 32;
/// Processor time of a request with its events until it has been measured.
constexpr double initial_processor_ms = 0.8;
/// Requests in an interval from which on the processor time of one can be told from other work.
constexpr std::int64_t min_measured_requests = 20;
constexpr double usage_weight = 0.3;
/// What is received beside requests never leaves less than this for them.
constexpr double min_request_share = 0.5;
} // namespace

entry_admission::entry_admission(entry_capacity capacity)
    : capacity_{capacity}
    , bytes_per_request_{initial_bytes_per_request}
    , processor_ms_per_request_{initial_processor_ms}
{
}

double entry_admission::service_time() const
{
    const auto link_rate = std::max(capacity_.bytes_per_ms * used_share - background_bytes_per_ms_,
                                    capacity_.bytes_per_ms * min_request_share);
    return std::max(bytes_per_request_ / link_rate,
                    processor_ms_per_request_ / (capacity_.cores * used_share));
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

void entry_admission::admitted(time_ms now)
{
    busy_until_ = static_cast<double>(now.count()) + wait(now) + service_time();
}

void entry_admission::request_ended(std::int64_t bytes)
{
    ++requests_;
    request_bytes_ += bytes;
    bytes_per_request_ += (static_cast<double>(bytes) - bytes_per_request_) * request_weight;
}

void entry_admission::observe(const entry_usage& total, time_ms now)
{
    const observation current{now, total, requests_, request_bytes_};
    const auto last = std::exchange(last_observation_, current);
    if (!last || now <= last->at) {
        return;
    }
    const auto elapsed_ms = static_cast<double>((now - last->at).count());
    const auto beside_requests =
        std::max<std::int64_t>(0, total.received_bytes - last->total.received_bytes -
                                      (request_bytes_ - last->request_bytes));
    background_bytes_per_ms_ +=
        (static_cast<double>(beside_requests) / elapsed_ms - background_bytes_per_ms_) *
        usage_weight;
    const auto requests = requests_ - last->requests;
    const auto processor_ms = total.processor_ms - last->total.processor_ms;
    if (requests >= min_measured_requests && processor_ms > 0) {
        processor_ms_per_request_ +=
            (processor_ms / static_cast<double>(requests) - processor_ms_per_request_) *
            usage_weight;
    }
}

int entry_admission::backlog() const
{
    return std::clamp(static_cast<int>(max_backlog_ms / service_time()), min_backlog, max_backlog);
}

} // namespace jujubevalve
