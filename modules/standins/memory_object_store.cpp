#include "standins/memory_object_store.h"

#include <utility>

namespace jujubevalve
{

memory_object_store::memory_object_store(std::shared_ptr<memory_faults> faults)
    : faults_{std::move(faults)}
{
}

status memory_object_store::put(const std::string& name, const std::string& content)
{
    if (!faults_->admit_write(1)) {
        return failure{result_code::platform_unavailable, "the platform is down"};
    }
    {
        const std::lock_guard lock{mutex_};
        objects_.insert_or_assign(name, content);
    }
    if (faults_->lose_answer()) {
        return failure{result_code::platform_outcome_unknown,
                       "put of object \"" + name + "\": the answer was lost"};
    }
    return success();
}

result<std::string> memory_object_store::get(const std::string& name)
{
    if (!faults_->admit_read()) {
        return failure{result_code::platform_unavailable, "the platform is down"};
    }
    const std::lock_guard lock{mutex_};
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        return failure{result_code::unknown_name, "object \"" + name + "\" does not exist"};
    }
    return found->second;
}

result<std::vector<std::string>> memory_object_store::list(const std::string& prefix)
{
    if (!faults_->admit_read()) {
        return failure{result_code::platform_unavailable, "the platform is down"};
    }
    const std::lock_guard lock{mutex_};
    std::vector<std::string> names;
    for (auto at = objects_.lower_bound(prefix);
         at != objects_.end() && at->first.starts_with(prefix); ++at) {
        names.push_back(at->first);
    }
    return names;
}

} // namespace jujubevalve
