#include "peer/reactor_loop.h"

#include <ace/ACE.h>
#include <ace/Thread.h>
#include <algorithm>
#include <future>

namespace jujubevalve
{

namespace
{
// The reactor's table is indexed by handle; 65536 entries take about 2 MB.
constexpr int max_handles = 65536;

std::unique_ptr<ACE_Dev_Poll_Reactor> make_implementation()
{
    const auto size = static_cast<std::size_t>(std::min(ACE::max_handles(), max_handles));
    return std::make_unique<ACE_Dev_Poll_Reactor>(size);
}
} // namespace

reactor_loop::reactor_loop(std::function<void()> every_second)
    : implementation_{make_implementation()}
    , reactor_{implementation_.get(), false}
    , every_second_{std::move(every_second)}
{
    const ACE_Time_Value second{1};
    reactor_.schedule_timer(this, nullptr, second, second);
    thread_ = std::thread{[this] {
        reactor_.owner(ACE_Thread::self());
        reactor_.run_reactor_event_loop();
    }};
}

reactor_loop::~reactor_loop()
{
    post([this] { reactor_.end_reactor_event_loop(); });
    thread_.join();
    reactor_.cancel_timer(this);
    reactor_.purge_pending_notifications(this);
    ACE_Event_Handler::reactor(nullptr);
}

void reactor_loop::post(std::function<void()> task)
{
    const std::lock_guard lock{mutex_};
    tasks_.push_back(std::move(task));
    // One notification covers all queued tasks, so that the notification pipe never fills up.
    if (tasks_.size() == 1) {
        reactor_.notify(this, ACE_Event_Handler::EXCEPT_MASK);
    }
}

void reactor_loop::run(const std::function<void()>& task)
{
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

int reactor_loop::handle_exception(ACE_HANDLE /*handle*/)
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock{mutex_};
        tasks.swap(tasks_);
    }
    for (const auto& task : tasks) {
        task();
    }
    return 0;
}

int reactor_loop::handle_timeout(const ACE_Time_Value& /*now*/, const void* /*argument*/)
{
    every_second_();
    return 0;
}

} // namespace jujubevalve
