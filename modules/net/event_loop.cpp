#include "net/event_loop.h"

#include "core/clock.h"

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Time_Value.h>
#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubevalve
{

namespace
{
// Limits the delay that a missed wake-up can cause.
constexpr time_ms max_poll_wait{1000};

/// Forwards the callbacks of ACE to an event_handler.
class ace_adapter final : public ACE_Event_Handler
{
public:
    explicit ace_adapter(event_handler& target)
        : target_{&target}
    {
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        if (target_ != nullptr) {
            target_->on_readable();
        }
        return 0;
    }

    int handle_output(ACE_HANDLE /*handle*/) override
    {
        if (target_ != nullptr) {
            target_->on_writable();
        }
        return 0;
    }

    void detach() { target_ = nullptr; }
    [[nodiscard]] bool dispatches_to(const event_handler& handler) const
    {
        return target_ == &handler;
    }

    event_interest interest;

private:
    event_handler* target_;
};

ACE_Reactor_Mask to_reactor_mask(event_interest interest)
{
    return (interest.read ? ACE_Event_Handler::READ_MASK : 0) |
           (interest.write ? ACE_Event_Handler::WRITE_MASK : 0);
}
} // namespace

class event_loop::impl
{
public:
    impl()
        : poll_{capacity()}
        , reactor_{&poll_, false}
    {
        update_now();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    ~impl()
    {
        for (auto& [descriptor, adapter] : adapters_) {
            remove(descriptor);
        }
    }

    void update_now() { now_ = steady_clock_ms{}.now(); }

    bool watch(int descriptor, event_handler& handler, event_interest interest)
    {
        const auto found = adapters_.find(descriptor);
        if (found != adapters_.end() && found->second->dispatches_to(handler)) {
            return update_interest(descriptor, *found->second, interest);
        }
        unwatch(descriptor);
        auto adapter = std::make_unique<ace_adapter>(handler);
        adapter->interest = interest;
        if (reactor_.register_handler(descriptor, adapter.get(), to_reactor_mask(interest)) != 0) {
            return false;
        }
        adapters_.emplace(descriptor, std::move(adapter));
        return true;
    }

    void unwatch(int descriptor)
    {
        const auto found = adapters_.find(descriptor);
        if (found == adapters_.end()) {
            return;
        }
        remove(descriptor);
        found->second->detach();
        // One of this adapter's callbacks may be on the call stack, so it is destroyed later.
        retired_adapters_.push_back(std::move(found->second));
        adapters_.erase(found);
    }

    void run()
    {
        while (!stopped_) {
            auto poll_wait = next_wait();
            ACE_Time_Value poll_timeout;
            poll_timeout.msec(static_cast<long>(poll_wait.count()));
            reactor_.handle_events(poll_timeout);
            update_now();
            run_timers();
            run_deferred();
        }
    }

    time_ms now_{};
    bool stopped_{false};
    timer_id last_timer_{0};
    std::multimap<time_ms, timer_id> timer_queue_;
    std::unordered_map<timer_id,
                       std::pair<std::multimap<time_ms, timer_id>::iterator, std::function<void()>>>
        timers_;
    std::vector<std::function<void()>> deferred_;

private:
    bool update_interest(int descriptor, ace_adapter& adapter, event_interest interest)
    {
        const auto previous = adapter.interest;
        adapter.interest = interest;
        if (interest.write != previous.write) {
            set_mask(descriptor, ACE_Event_Handler::WRITE_MASK, interest.write);
        }
        if (interest.read != previous.read) {
            set_mask(descriptor, ACE_Event_Handler::READ_MASK, interest.read);
        }
        return true;
    }

    void set_mask(int descriptor, ACE_Reactor_Mask mask, bool on)
    {
        reactor_.mask_ops(descriptor, mask, on ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK);
    }

    void remove(int descriptor)
    {
        reactor_.remove_handler(descriptor,
                                ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    }

    [[nodiscard]] time_ms next_wait() const
    {
        if (!deferred_.empty()) {
            return time_ms{0};
        }
        if (timer_queue_.empty()) {
            return max_poll_wait;
        }
        const auto now = steady_clock_ms{}.now();
        return std::clamp(timer_queue_.begin()->first - now, time_ms{0}, max_poll_wait);
    }

    void run_timers()
    {
        while (!timer_queue_.empty() && timer_queue_.begin()->first <= now_) {
            const auto id = timer_queue_.begin()->second;
            auto task = std::move(timers_.at(id).second);
            timers_.erase(id);
            timer_queue_.erase(timer_queue_.begin());
            task();
        }
    }

    void run_deferred()
    {
        while (!deferred_.empty()) {
            auto tasks = std::exchange(deferred_, {});
            for (auto& task : tasks) {
                task();
            }
        }
        retired_adapters_.clear();
    }

    ACE_Dev_Poll_Reactor poll_;
    ACE_Reactor reactor_;
    std::unordered_map<int, std::unique_ptr<ace_adapter>> adapters_;
    std::vector<std::unique_ptr<ace_adapter>> retired_adapters_;
};

event_loop::event_loop()
    : impl_{std::make_unique<impl>()}
{
}

event_loop::~event_loop() = default;

time_ms event_loop::now() const
{
    return impl_->now_;
}

timer_id event_loop::schedule(time_ms delay, std::function<void()> task)
{
    const auto id = ++impl_->last_timer_;
    const auto position =
        impl_->timer_queue_.emplace(impl_->now_ + std::max(delay, time_ms{0}), id);
    impl_->timers_.emplace(id, std::make_pair(position, std::move(task)));
    return id;
}

void event_loop::cancel(timer_id id)
{
    const auto found = impl_->timers_.find(id);
    if (found != impl_->timers_.end()) {
        impl_->timer_queue_.erase(found->second.first);
        impl_->timers_.erase(found);
    }
}

void event_loop::defer(std::function<void()> task)
{
    impl_->deferred_.push_back(std::move(task));
}

bool event_loop::watch(int descriptor, event_handler& handler, event_interest interest)
{
    return impl_->watch(descriptor, handler, interest);
}

void event_loop::unwatch(int descriptor)
{
    impl_->unwatch(descriptor);
}

std::size_t event_loop::capacity()
{
    // The reactor's table is indexed by descriptor and takes 32 bytes per entry.
    constexpr int max_descriptors = 16384;
    return static_cast<std::size_t>(std::min(ACE::max_handles(), max_descriptors));
}

void event_loop::run()
{
    impl_->run();
}

void event_loop::stop()
{
    impl_->stopped_ = true;
}

} // namespace jujubevalve
