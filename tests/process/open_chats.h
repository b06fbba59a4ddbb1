#pragma once

#include "process/caller.h"
#include "process/polling.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jujubevalve::process
{

/// Chats that run in threads of their own.
class open_chats
{
public:
    open_chats() = default;
    ~open_chats() { join(); }
    open_chats(const open_chats&) = delete;
    open_chats& operator=(const open_chats&) = delete;

    /// Starts chats that make their attempts at the routers in turn.
    void start(const std::string& name, const std::vector<std::string>& routers, int count,
               int tokens)
    {
        for (int i = 0; i < count; ++i) {
            callers_.push_back(
                std::make_unique<chat_caller>(name + "-" + std::to_string(i), tokens));
            threads_.emplace_back([this, caller = callers_.back().get(), routers] {
                whole_ += caller->run(routers) ? 1 : 0;
            });
        }
    }

    /// Waits until each chat has received so many tokens.
    bool all_received(int tokens)
    {
        return eventually([&] {
            return std::all_of(callers_.begin(), callers_.end(),
                               [&](const auto& caller) { return caller->received() >= tokens; });
        });
    }

    /// Waits until all chats have ended.
    void join()
    {
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    /// Number of chats with a whole answer.
    [[nodiscard]] int whole() const { return whole_; }
    [[nodiscard]] const std::vector<std::unique_ptr<chat_caller>>& callers() const
    {
        return callers_;
    }

private:
    std::vector<std::unique_ptr<chat_caller>> callers_;
    std::vector<std::thread> threads_;
    std::atomic<int> whole_{0};
};

} // namespace jujubevalve::process
