#include "router/execution_table.h"

#include <utility>

namespace jujubevalve
{

namespace
{
// Limits the ended executions kept for replays; the answer of an older one is replayed as a single
// part.
constexpr std::size_t max_recent_executions = 256;
} // namespace

execution_table::execution_table(std::string incarnation, key_epochs epochs)
    : epochs_{epochs}
    , registry_{std::move(incarnation), epochs}
{
}

execution_table::registration execution_table::begin(const execution_request& request, time_ms now)
{
    const std::lock_guard lock{mutex_};
    registration result{registry_.begin(request, now), nullptr};
    if (result.begin.action == begin_action::start) {
        result.running = std::make_shared<execution>();
        running_.emplace(result.begin.id, result.running);
    } else if (result.begin.action == begin_action::join) {
        const auto found = running_.find(result.begin.id);
        result.running = found == running_.end() ? nullptr : found->second;
    } else if (result.begin.action == begin_action::answered) {
        const auto found = recent_.find(result.begin.id);
        result.running = found == recent_.end() ? nullptr : found->second;
    }
    return result;
}

void execution_table::ended(execution_id id)
{
    const std::lock_guard lock{mutex_};
    auto node = running_.extract(id);
    if (node.empty()) {
        return;
    }
    recent_.insert(std::move(node));
    if (recent_.size() > max_recent_executions) {
        recent_.erase(recent_.begin());
    }
}

std::size_t execution_table::active() const
{
    const std::lock_guard lock{mutex_};
    return registry_.active();
}

} // namespace jujubevalve
