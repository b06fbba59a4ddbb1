#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// A monotonic counter, or a gauge that is set. Thread-safe.
using counter = std::atomic<std::int64_t>;

/// The named counters of a process. Thread-safe.
class counters
{
public:
    /// Returns the counter with this name, created as 0 on first use. The reference stays valid for
    /// the lifetime of this object.
    counter& at(std::string_view name);

    /// Returns all counters in name order, one `name value` line each.
    [[nodiscard]] std::string to_text() const;

    /// Returns a copy of all values by name.
    [[nodiscard]] std::map<std::string, std::int64_t> snapshot() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<counter>, std::less<>> by_name_;
};

} // namespace jujubevalve
