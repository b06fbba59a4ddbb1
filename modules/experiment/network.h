#pragma once

#include <set>
#include <string>
#include <utility>

namespace jujubevalve::experiment
{

/// Partition flags between instances, and between instances and the platform.
class network
{
public:
    void cut_platform(const std::string& instance) { no_platform_.insert(instance); }
    void cut(const std::string& a, const std::string& b) { cut_.insert(ordered(a, b)); }

    /// Ends all partitions.
    void heal()
    {
        no_platform_.clear();
        cut_.clear();
    }

    [[nodiscard]] bool reaches_platform(const std::string& instance) const
    {
        return !no_platform_.contains(instance);
    }
    [[nodiscard]] bool linked(const std::string& a, const std::string& b) const
    {
        return !cut_.contains(ordered(a, b));
    }

private:
    static std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b)
    {
        return a < b ? std::pair{a, b} : std::pair{b, a};
    }

    std::set<std::string> no_platform_;
    std::set<std::pair<std::string, std::string>> cut_;
};

} // namespace jujubevalve::experiment
