#pragma once

#include "core/core.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace jujubevalve
{

/// Runs a function in a thread of its own at an interval with up to 10 % jitter, and at once when
/// it is woken. The destructor waits for a running call.
class periodic_task
{
public:
    periodic_task(time_ms interval, std::function<void()> run);

    /// Asks for the interval before each wait.
    periodic_task(std::function<time_ms()> interval, std::function<void()> run);
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

    /// Makes the next call start now.
    void wake();

    /// Makes no further calls and waits for a running one.
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
