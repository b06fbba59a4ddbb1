#include "experiment/event_queue.h"

#include <algorithm>
#include <utility>

namespace jujubevalve::experiment
{

bool event_queue::is_later(const event& a, const event& b)
{
    return std::pair{a.when, a.seq} > std::pair{b.when, b.seq};
}

void event_queue::at(time_ms when, action run)
{
    heap_.push_back({std::max(when, now_), ++last_seq_, std::move(run)});
    std::push_heap(heap_.begin(), heap_.end(), is_later);
}

void event_queue::run_until(time_ms end)
{
    while (!heap_.empty() && heap_.front().when <= end) {
        std::pop_heap(heap_.begin(), heap_.end(), is_later);
        const auto next = std::move(heap_.back());
        heap_.pop_back();
        now_ = next.when;
        next.run();
    }
    now_ = end;
}

} // namespace jujubevalve::experiment
