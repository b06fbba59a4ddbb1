#pragma once

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace jujubevalve
{

/// An ACE reactor and the thread that runs it. Event handlers are registered, called and removed
/// only in that thread; other threads post tasks to it.
class reactor_loop : private ACE_Event_Handler
{
public:
    /// Starts the thread, which calls `every_second` about once a second.
    explicit reactor_loop(std::function<void()> every_second);

    /// Runs the tasks posted so far, then ends the thread.
    ~reactor_loop() override;
    reactor_loop(const reactor_loop&) = delete;
    reactor_loop& operator=(const reactor_loop&) = delete;

    /// Queues a task for the reactor thread; tasks run in the order of posting. Tasks posted after
    /// the thread has ended are dropped.
    void post(std::function<void()> task);

    /// Runs a task in the reactor thread and waits for it. Must not be called in that thread.
    void run(const std::function<void()>& task);

    /// Returns the reactor, for use in its thread only.
    [[nodiscard]] ACE_Reactor& event_reactor() { return reactor_; }

private:
    int handle_exception(ACE_HANDLE handle) override;
    int handle_timeout(const ACE_Time_Value& now, const void* argument) override;

    std::unique_ptr<ACE_Dev_Poll_Reactor> implementation_;
    ACE_Reactor reactor_;
    std::function<void()> every_second_;
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_;
    std::thread thread_;
};

} // namespace jujubevalve
