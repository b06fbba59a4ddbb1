#include "standins/memory_instance_list.h"

#include <utility>

namespace jujubevalve
{

memory_instance_list::memory_instance_list(std::function<time_ms()> now, time_ms lag,
                                           std::shared_ptr<memory_faults> faults)
    : now_{std::move(now)}
    , lag_{lag}
    , faults_{std::move(faults)}
{
}

void memory_instance_list::add(const listed_instance& instance)
{
    const std::lock_guard lock{mutex_};
    current_.insert_or_assign(instance.name, instance);
    record();
}

bool memory_instance_list::mark_leaving(const std::string& name)
{
    const std::lock_guard lock{mutex_};
    const auto found = current_.find(name);
    if (found == current_.end()) {
        return false;
    }
    found->second.state = instance_state::leaving;
    record();
    return true;
}

bool memory_instance_list::remove(const std::string& name)
{
    const std::lock_guard lock{mutex_};
    if (current_.erase(name) == 0) {
        return false;
    }
    record();
    return true;
}

result<std::vector<listed_instance>> memory_instance_list::instances()
{
    if (!faults_->admit_read()) {
        return failure{result_code::platform_unavailable, "the platform is down"};
    }
    const std::lock_guard lock{mutex_};
    evict_old();
    std::vector<listed_instance> shown;
    if (!history_.empty() && history_.begin()->first <= now_() - lag_) {
        for (const auto& [name, instance] : history_.begin()->second) {
            shown.push_back(instance);
        }
    }
    return shown;
}

void memory_instance_list::record()
{
    history_.insert_or_assign(now_(), current_);
    evict_old();
}

// Keeps the newest state that is at least `lag_` old, and all newer ones.
void memory_instance_list::evict_old()
{
    const auto first_hidden = history_.upper_bound(now_() - lag_);
    if (first_hidden != history_.begin()) {
        history_.erase(history_.begin(), std::prev(first_hidden));
    }
}

} // namespace jujubevalve
