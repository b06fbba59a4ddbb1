#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace jujubevalve
{

/// A fixed-size thread pool that starts jobs in FIFO order. Jobs must not throw.
class worker_pool
{
public:
    worker_pool(unsigned threads, std::size_t max_queued);

    /// Drops queued jobs and waits for running ones.
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Queues a job; returns false if the queue is full or the pool is stopping.
    bool add(std::function<void()> job);

private:
    void run();

    const std::size_t max_queued_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> jobs_;
    bool stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace jujubevalve
