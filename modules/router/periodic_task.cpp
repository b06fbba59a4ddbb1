#include "router/periodic_task.h"

#include <chrono>
#include <random>
#include <utility>

namespace jujubevalve
{

periodic_task::periodic_task(time_ms interval, std::function<void()> run)
    : periodic_task{[interval] { return interval; }, std::move(run)}
{
}

periodic_task::periodic_task(std::function<time_ms()> interval, std::function<void()> run)
    : interval_{std::move(interval)}
    , run_{std::move(run)}
    , thread_{[this] { loop(); }}
{
}

periodic_task::~periodic_task()
{
    stop();
}

void periodic_task::wake()
{
    {
        const std::lock_guard lock{mutex_};
        woken_ = true;
    }
    changed_.notify_all();
}

void periodic_task::stop()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void periodic_task::loop()
{
    while (wait_for_next_run()) {
        run_();
    }
}

bool periodic_task::wait_for_next_run()
{
    // Jitter keeps instances that start together from calling in lockstep.
    static thread_local std::minstd_rand random{std::random_device{}()};
    const auto interval = interval_();
    const auto max_jitter = std::max<std::int64_t>(1, interval.count() / 10);
    const auto jitter =
        std::uniform_int_distribution<std::int64_t>{-max_jitter, max_jitter}(random);
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, std::chrono::milliseconds{interval.count() + jitter},
                      [this] { return woken_ || stopping_; });
    woken_ = false;
    return !stopping_;
}

} // namespace jujubevalve
