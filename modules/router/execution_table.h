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

/// The registry of executions together with the executions that are under way. Safe to use from any
/// thread.
class execution_table
{
public:
    execution_table(std::string incarnation, key_epochs epochs);

    /// A request's place: what to do, and the execution to run or to wait for.
    struct registration {
        begin_result begin;
        std::shared_ptr<execution> running;
    };

    /// Registers a request, see execution_registry::begin. An `answered` request whose execution is
    /// still in memory gets that as well, with its parts as they were streamed.
    registration begin(const execution_request& request, time_ms now);

    /// Calls a function with the registry; the lock is held meanwhile.
    template <class Function>
    auto with_registry(const Function& function)
    {
        const std::lock_guard lock{mutex_};
        return function(registry_);
    }

    /// Moves an execution that has ended from the running ones to the most recent ended ones.
    void ended(execution_id id);

    /// Executions that are accepted or sent.
    [[nodiscard]] std::size_t active() const;

    /// Current epoch for key prefixes.
    [[nodiscard]] std::int64_t epoch(time_ms now) const { return epochs_.at(now); }

private:
    key_epochs epochs_;
    mutable std::mutex mutex_;
    execution_registry registry_;
    std::map<execution_id, std::shared_ptr<execution>> running_;
    std::map<execution_id, std::shared_ptr<execution>>
        recent_; ///< so that replays keep their parts
};

} // namespace jujubevalve
