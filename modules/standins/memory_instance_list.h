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

/// In-memory instance list that shows each change only after a lag. Thread-safe; calls never sleep.
class memory_instance_list
{
public:
    /// `now` returns the time of a real or virtual clock.
    memory_instance_list(std::function<time_ms()> now, time_ms lag,
                         std::shared_ptr<memory_faults> faults = std::make_shared<memory_faults>());

    /// Adds the instance, or replaces the one with the same name.
    void add(const listed_instance& instance);

    /// Marks an instance as leaving; returns false if it does not exist.
    bool mark_leaving(const std::string& name);

    /// Removes an instance; returns false if it does not exist.
    bool remove(const std::string& name);

    /// Returns the instances as of `lag` ago, sorted by name.
    [[nodiscard]] result<std::vector<listed_instance>> instances();

    [[nodiscard]] memory_faults& faults() { return *faults_; }

private:
    using instance_map = std::map<std::string, listed_instance, std::less<>>;

    void record();
    void evict_old();

    std::function<time_ms()> now_;
    time_ms lag_;
    std::shared_ptr<memory_faults> faults_;
    std::mutex mutex_;
    instance_map current_;
    std::map<time_ms, instance_map> history_; // the list by time of change
};

static_assert(instance_list<memory_instance_list>);

} // namespace jujubevalve
