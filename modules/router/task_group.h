#pragma once

#include "core/core.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace jujubevalve
{

/// Runs each function in its own thread. The destructor waits until all have ended.
class task_group
{
public:
    task_group() = default;
    ~task_group();
    task_group(const task_group&) = delete;
    task_group& operator=(const task_group&) = delete;

    /// Starts a thread that runs the function.
    void run(std::function<void()> task);

    /// Waits until no task is running. Returns false after the time limit.
    bool wait_idle(time_ms limit);

    [[nodiscard]] std::size_t running() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t running_{0};
};

} // namespace jujubevalve
