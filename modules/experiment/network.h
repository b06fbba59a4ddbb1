#pragma once

#include "core/time_ms.h"

#include <set>
#include <string>
#include <utility>

namespace jujubevalve::experiment
{

/// Tracks which links are cut between instances, and between instances and the platform.
class network
{
public:
    void cut_platform(const std::string& instance) { cut_from_platform_.insert(instance); }
    void cut(const std::string& a, const std::string& b) { cut_links_.insert(ordered(a, b)); }

    /// Ends all partitions.
    void heal(time_ms now)
    {
        healed_at_ = now;
        cut_from_platform_.clear();
        cut_links_.clear();
    }

    /// Returns the time of the last `heal`.
    [[nodiscard]] time_ms healed_at() const { return healed_at_; }

    [[nodiscard]] bool reaches_platform(const std::string& instance) const
    {
        return !cut_from_platform_.contains(instance);
    }
    [[nodiscard]] bool linked(const std::string& a, const std::string& b) const
    {
        return !cut_links_.contains(ordered(a, b));
    }

private:
    static std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b)
    {
        return a < b ? std::pair{a, b} : std::pair{b, a};
    }

    time_ms healed_at_{};
    std::set<std::string> cut_from_platform_;
    std::set<std::pair<std::string, std::string>> cut_links_;
};

} // namespace jujubevalve::experiment
