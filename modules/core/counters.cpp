#include "core/counters.h"

namespace jujubevalve
{

counter& counters::at(std::string_view name)
{
    const std::lock_guard lock{mutex_};
    const auto found = by_name_.find(name);
    if (found != by_name_.end()) {
        return *found->second;
    }
    return *by_name_.emplace(std::string{name}, std::make_unique<counter>(0)).first->second;
}

std::string counters::to_text() const
{
    std::string text;
    for (const auto& [name, value] : snapshot()) {
        text += name + " " + std::to_string(value) + "\n";
    }
    return text;
}

std::map<std::string, std::int64_t> counters::snapshot() const
{
    const std::lock_guard lock{mutex_};
    std::map<std::string, std::int64_t> values;
    for (const auto& [name, value] : by_name_) {
        values.emplace(name, value->load());
    }
    return values;
}

} // namespace jujubevalve
