#pragma once

#include "core/time_ms.h"
#include "standins/memory_faults.h"
#include "storage/instance_list.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace jujubevalve
{

/// Instance list in memory that shows each change only after a lag. Safe from any thread; calls
/// never wait.
class memory_instance_list
{
public:
    /// `now` gives the time, of a real or a virtual clock.
    memory_instance_list(std::function<time_ms()> now, time_ms lag,
                         std::shared_ptr<memory_faults> faults = std::make_shared<memory_faults>());

    /// Adds the instance, or replaces the one of that name.
    void add(const listed_instance& instance);

    /// Marks an instance as leaving. False if there is none of that name.
    bool mark_leaving(const std::string& name);

    /// Removes an instance. False if there is none of that name.
    bool remove(const std::string& name);

    /// The instances as they were a lag ago, in name order.
    [[nodiscard]] result<std::vector<listed_instance>> instances();

    [[nodiscard]] memory_faults& faults() { return *faults_; }

private:
    using instance_map = std::map<std::string, listed_instance, std::less<>>;

    void record();
    void forget_old();

    std::function<time_ms()> now_;
    time_ms lag_;
    std::shared_ptr<memory_faults> faults_;
    std::mutex mutex_;
    instance_map truth_;
    std::map<time_ms, instance_map> history_; // the truth from each time on
};

static_assert(instance_list<memory_instance_list>);

} // namespace jujubevalve
