#include "router/task_group.h"

#include <chrono>
#include <thread>
#include <utility>

namespace jujubevalve
{

task_group::~task_group()
{
    std::unique_lock lock{mutex_};
    idle_.wait(lock, [this] { return running_ == 0; });
}

void task_group::run(std::function<void()> task)
{
    {
        const std::lock_guard lock{mutex_};
        ++running_;
    }
    std::thread{[this, work = std::move(task)] {
        work();
        // Notifies under the lock, because the group may be destroyed as soon as it is unlocked.
        const std::lock_guard lock{mutex_};
        --running_;
        idle_.notify_all();
    }}.detach();
}

bool task_group::wait_idle(time_ms limit)
{
    std::unique_lock lock{mutex_};
    return idle_.wait_for(lock, std::chrono::milliseconds{limit.count()},
                          [this] { return running_ == 0; });
}

std::size_t task_group::running() const
{
    const std::lock_guard lock{mutex_};
    return running_;
}

} // namespace jujubevalve
