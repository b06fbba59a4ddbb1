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
    return adopt(std::vector<config_log_entry>{entry});
}

adopt_outcome config_history::adopt(const std::vector<config_log_entry>& entries)
{
    const auto first = std::find_if(entries.begin(), entries.end(), [this](const auto& entry) {
        return entry.version > version();
    });
    if (first == entries.end()) {
        return adopt_outcome::already_known;
    }
    if (const auto outcome = check_order(first, entries.end()); outcome != adopt_outcome::adopted) {
        return outcome;
    }
    auto routes = current_->routes();
    auto pools = current_->pools();
    for (auto entry = first; entry != entries.end(); ++entry) {
        if (!apply_changes(routes, pools, entry->changes)) {
            return adopt_outcome::diverged;
        }
    }
    const auto& last = entries.back();
    current_ = std::make_shared<const config_snapshot>(last.term, last.version, std::move(routes),
                                                       std::move(pools));
    entries_.insert(entries_.end(), first, entries.end());
    while (entries_.size() > max_entries_) {
        entries_.pop_front();
    }
    return adopt_outcome::adopted;
}

adopt_outcome config_history::check_order(entry_iterator first, entry_iterator last) const
{
    auto version = this->version();
    auto term = this->term();
    for (auto entry = first; entry != last; ++entry) {
        if (entry->term < term) {
            return adopt_outcome::lower_term;
        }
        if (entry->version != version + 1) {
            return adopt_outcome::gap;
        }
        version = entry->version;
        term = entry->term;
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
