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
// Upper bound of one wait, so that a missed wake-up delays nothing for longer.
constexpr time_ms longest_wait{1000};

/// Passes ACE's upcalls on to an event_handler.
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
    [[nodiscard]] bool is_for(const event_handler& handler) const { return target_ == &handler; }

    event_interest interest;

private:
    event_handler* target_;
};

ACE_Reactor_Mask mask_of(event_interest interest)
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
        refresh();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    ~impl()
    {
        for (auto& [descriptor, adapter] : adapters_) {
            remove(descriptor);
        }
    }

    void refresh() { now_ = steady_clock_ms{}.now(); }

    bool watch(int descriptor, event_handler& handler, event_interest interest)
    {
        const auto found = adapters_.find(descriptor);
        if (found != adapters_.end() && found->second->is_for(handler)) {
            return change(descriptor, *found->second, interest);
        }
        unwatch(descriptor);
        auto adapter = std::make_unique<ace_adapter>(handler);
        adapter->interest = interest;
        if (reactor_.register_handler(descriptor, adapter.get(), mask_of(interest)) != 0) {
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
        // The adapter may be the one whose upcall is on the stack.
        retired_.push_back(std::move(found->second));
        adapters_.erase(found);
    }

    void run()
    {
        while (!stopped_) {
            auto wait = next_wait();
            ACE_Time_Value limit;
            limit.msec(static_cast<long>(wait.count()));
            reactor_.handle_events(limit);
            refresh();
            run_timers();
            run_deferred();
        }
    }

    time_ms now_{};
    bool stopped_{false};
    timer_id last_timer_{0};
    std::multimap<time_ms, timer_id> due_;
    std::unordered_map<timer_id,
                       std::pair<std::multimap<time_ms, timer_id>::iterator, std::function<void()>>>
        timers_;
    std::vector<std::function<void()>> deferred_;

private:
    bool change(int descriptor, ace_adapter& adapter, event_interest interest)
    {
        const auto old = adapter.interest;
        adapter.interest = interest;
        if (interest.write != old.write) {
            update(descriptor, ACE_Event_Handler::WRITE_MASK, interest.write);
        }
        if (interest.read != old.read) {
            update(descriptor, ACE_Event_Handler::READ_MASK, interest.read);
        }
        return true;
    }

    void update(int descriptor, ACE_Reactor_Mask mask, bool on)
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
        if (due_.empty()) {
            return longest_wait;
        }
        const auto now = steady_clock_ms{}.now();
        return std::clamp(due_.begin()->first - now, time_ms{0}, longest_wait);
    }

    void run_timers()
    {
        while (!due_.empty() && due_.begin()->first <= now_) {
            const auto id = due_.begin()->second;
            auto task = std::move(timers_.at(id).second);
            timers_.erase(id);
            due_.erase(due_.begin());
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
        retired_.clear();
    }

    ACE_Dev_Poll_Reactor poll_;
    ACE_Reactor reactor_;
    std::unordered_map<int, std::unique_ptr<ace_adapter>> adapters_;
    std::vector<std::unique_ptr<ace_adapter>> retired_;
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
    const auto at = impl_->due_.emplace(impl_->now_ + std::max(delay, time_ms{0}), id);
    impl_->timers_.emplace(id, std::make_pair(at, std::move(task)));
    return id;
}

void event_loop::cancel(timer_id id)
{
    const auto found = impl_->timers_.find(id);
    if (found != impl_->timers_.end()) {
        impl_->due_.erase(found->second.first);
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
    // The reactor's table is indexed by descriptor; an entry takes 32 bytes.
    constexpr int most = 16384;
    return static_cast<std::size_t>(std::min(ACE::max_handles(), most));
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
