#include "peer/worker_pool.h"

namespace jujubevalve
{

worker_pool::worker_pool(unsigned threads, std::size_t max_queued)
    : max_queued_{max_queued}
{
    for (unsigned i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
        jobs_.clear();
    }
    changed_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
}

bool worker_pool::add(std::function<void()> job)
{
    {
        const std::lock_guard lock{mutex_};
        if (stopping_ || jobs_.size() >= max_queued_) {
            return false;
        }
        jobs_.push_back(std::move(job));
    }
    changed_.notify_one();
    return true;
}

void worker_pool::run()
{
    std::unique_lock lock{mutex_};
    for (;;) {
        changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
        if (stopping_) {
            return;
        }
        const auto job = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace jujubevalve
