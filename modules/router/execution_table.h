#pragma once

#include "requests/execution_registry.h"
#include "router/execution.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jujubevalve
{

/// The registry of executions, with the execution objects that are running or have recently ended.
/// Thread-safe.
class execution_table
{
public:
    execution_table(std::string incarnation, key_epochs epochs);

    /// Result of registering a request: what to do, and the execution to run, wait for or replay.
    struct registration {
        begin_result begin;
        std::shared_ptr<execution> running;
    };

    /// Registers a request, see execution_registry::begin. For an `answered` request, `running` is
    /// the original execution with the parts as streamed, if it is still in memory.
    registration begin(const execution_request& request, time_ms now);

    /// Calls `function` with the registry while holding the lock.
    template <class Function>
    auto with_registry(const Function& function)
    {
        const std::lock_guard lock{mutex_};
        return function(registry_);
    }

    /// Moves an ended execution from the running ones to the recent ones.
    void ended(execution_id id);

    /// Returns the number of executions that are accepted or sent.
    [[nodiscard]] std::size_t active() const;

    /// Returns the epoch for key prefixes at `now`.
    [[nodiscard]] std::int64_t epoch(time_ms now) const { return epochs_.at(now); }

private:
    key_epochs epochs_;
    mutable std::mutex mutex_;
    execution_registry registry_;
    std::map<execution_id, std::shared_ptr<execution>> running_;
    std::map<execution_id, std::shared_ptr<execution>>
        recent_; ///< ended executions, kept so that replays have the original parts
};

} // namespace jujubevalve
