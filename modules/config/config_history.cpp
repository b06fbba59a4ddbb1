#include "config/config_history.h"

#include <algorithm>

namespace jujubevalve
{

config_history::config_history(std::size_t max_entries)
    : max_entries_{max_entries}
    , current_{std::make_shared<const config_snapshot>()}
{
}

adopt_outcome config_history::adopt(const config_log_entry& entry)
{
    if (entry.version <= version()) {
        return adopt_outcome::already_known;
    }
    if (entry.term < term()) {
        return adopt_outcome::lower_term;
    }
    if (entry.version != version() + 1) {
        return adopt_outcome::gap;
    }
    auto next = with_changes(*current_, entry.changes, entry.term, entry.version);
    if (!next) {
        return adopt_outcome::diverged;
    }
    current_ = std::make_shared<const config_snapshot>(std::move(next).value());
    entries_.push_back(entry);
    while (entries_.size() > max_entries_) {
        entries_.pop_front();
    }
    return adopt_outcome::adopted;
}

adopt_outcome config_history::adopt(const config_snapshot& snapshot)
{
    if (snapshot.version() <= version()) {
        return adopt_outcome::already_known;
    }
    if (snapshot.term() < term()) {
        return adopt_outcome::lower_term;
    }
    current_ = std::make_shared<const config_snapshot>(snapshot);
    entries_.clear();
    return adopt_outcome::adopted;
}

std::optional<std::vector<config_log_entry>> config_history::entries_since(std::int64_t since,
                                                                           std::size_t limit) const
{
    if (since >= version()) {
        return std::vector<config_log_entry>{};
    }
    if (entries_.empty() || since + 1 < entries_.front().version) {
        return std::nullopt;
    }
    const auto skip = static_cast<std::size_t>(since + 1 - entries_.front().version);
    const auto count = std::min(limit, entries_.size() - skip);
    const auto first = entries_.begin() + static_cast<std::ptrdiff_t>(skip);
    return std::vector<config_log_entry>(first, first + static_cast<std::ptrdiff_t>(count));
}

} // namespace jujubevalve
