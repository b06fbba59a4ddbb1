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

/// A number that only grows, or a gauge that is set; safe to use from any thread.
using counter = std::atomic<std::int64_t>;

/// The named counters of one process.
class counters
{
public:
    /// Returns the counter of that name, made at 0 on first use. The reference stays valid.
    counter& at(std::string_view name);

    /// All counters in name order, one `name value` line each.
    [[nodiscard]] std::string to_text() const;

    /// A copy of all values.
    [[nodiscard]] std::map<std::string, std::int64_t> snapshot() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<counter>, std::less<>> by_name_;
};

} // namespace jujubevalve
