#include "backend/stream_checker.h"

#include <utility>

namespace jujubevalve
{

stream_checker::stream_checker(std::string key, std::int64_t first_index)
    : key_{std::move(key)}
    , next_index_{first_index}
{
}

event_verdict stream_checker::check(const engine_event& event)
{
    if (event.key != key_) {
        return event_verdict::wrong_key;
    }
    if (event.index < next_index_) {
        return event_verdict::repeated;
    }
    if (complete_) {
        return event_verdict::surplus;
    }
    if (event.index > next_index_) {
        return event_verdict::skipped;
    }
    ++next_index_;
    complete_ = !event.finish.empty();
    return event_verdict::deliver;
}

} // namespace jujubevalve
