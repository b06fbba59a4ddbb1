#pragma once

#include "standins/memory_faults.h"
#include "storage/object_store.h"

#include <map>
#include <memory>
#include <mutex>

namespace jujubevalve
{

/// In-memory object store. Thread-safe; calls never sleep.
class memory_object_store
{
public:
    explicit memory_object_store(
        std::shared_ptr<memory_faults> faults = std::make_shared<memory_faults>());

    [[nodiscard]] status put(const std::string& name, const std::string& content);
    [[nodiscard]] result<std::string> get(const std::string& name);
    [[nodiscard]] result<std::vector<std::string>> list(const std::string& prefix);

    [[nodiscard]] memory_faults& faults() { return *faults_; }

private:
    std::shared_ptr<memory_faults> faults_;
    std::mutex mutex_;
    std::map<std::string, std::string, std::less<>> objects_;
};

static_assert(object_store<memory_object_store>);

} // namespace jujubevalve
