#include "router/execution.h"

#include <chrono>
#include <utility>

namespace jujubevalve
{

namespace
{
std::chrono::milliseconds to_chrono(time_ms limit)
{
    return std::chrono::milliseconds{limit.count()};
}
} // namespace

void execution::append(std::string part)
{
    {
        const std::lock_guard lock{mutex_};
        if (end_) {
            return;
        }
        parts_.push_back(std::move(part));
    }
    changed_.notify_all();
}

void execution::set_resume(std::string resume)
{
    const std::lock_guard lock{mutex_};
    resume_ = std::move(resume);
}

void execution::finish(execution_end end)
{
    {
        const std::lock_guard lock{mutex_};
        if (end_) {
            return;
        }
        end_ = std::move(end);
    }
    changed_.notify_all();
}

execution::progress execution::read(std::size_t from, time_ms limit) const
{
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, to_chrono(limit), [&] { return end_ || parts_.size() > from; });
    progress result;
    for (auto i = from; i < parts_.size(); ++i) {
        result.parts.push_back(parts_[i]);
    }
    result.ended = end_.has_value();
    return result;
}

bool execution::wait_started(time_ms limit) const
{
    std::unique_lock lock{mutex_};
    return changed_.wait_for(lock, to_chrono(limit), [&] { return end_ || !parts_.empty(); });
}

std::optional<execution_end> execution::wait_ended(time_ms limit) const
{
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, to_chrono(limit), [&] { return end_.has_value(); });
    return end_;
}

std::string execution::text() const
{
    const std::lock_guard lock{mutex_};
    std::string joined;
    for (const auto& part : parts_) {
        joined += part;
    }
    return joined;
}

std::string execution::resume() const
{
    const std::lock_guard lock{mutex_};
    return resume_;
}

std::size_t execution::parts() const
{
    const std::lock_guard lock{mutex_};
    return parts_.size();
}

} // namespace jujubevalve
