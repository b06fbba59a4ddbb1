#pragma once

#include "core/core.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace jujubevalve
{

/// Calls a function periodically in its own thread, with up to 10 % jitter, and immediately when
/// woken. The destructor waits for a call in progress.
class periodic_task
{
public:
    periodic_task(time_ms interval, std::function<void()> run);

    /// Calls `interval` for the interval before each wait.
    periodic_task(std::function<time_ms()> interval, std::function<void()> run);
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

    /// Starts the next call immediately.
    void wake();

    /// Prevents further calls and waits for a call in progress.
    void stop();

private:
    void loop();
    bool wait_for_next_run();

    std::function<time_ms()> interval_;
    std::function<void()> run_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool woken_{false};
    bool stopping_{false};
    std::thread thread_;
};

} // namespace jujubevalve
