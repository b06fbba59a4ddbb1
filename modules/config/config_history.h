#pragma once

#include "config/config_log_entry.h"
#include "config/config_snapshot.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace jujubevalve
{

/// Result of passing a version to `config_history::adopt`.
enum class adopt_outcome {
    adopted,
    already_known, ///< not higher than the current version
    gap,           ///< versions between the current one and this one are missing
    lower_term,    ///< created in an earlier term than the current version
    diverged,      ///< its `before` rows differ from the current tables
};

/// The current configuration and its most recent log entries. Neither the current version nor its
/// term ever decreases, so nothing received from a peer or the platform reverts the configuration.
class config_history
{
public:
    /// Keeps up to `max_entries` log entries, to send them to peers.
    explicit config_history(std::size_t max_entries = 1000);

    /// Makes the next version current.
    adopt_outcome adopt(const config_log_entry& entry);

    /// Applies several versions in one step, copying the tables only once. Skips entries that are
    /// already known. If an entry can't be applied, nothing changes.
    adopt_outcome adopt(const std::vector<config_log_entry>& entries);

    /// Makes a whole snapshot current and discards the log entries kept so far.
    adopt_outcome adopt(const config_snapshot& snapshot);

    /// The current tables, never null; version 0 has no rows. The returned snapshot is immutable:
    /// later calls of `adopt` replace it.
    [[nodiscard]] std::shared_ptr<const config_snapshot> current() const { return current_; }
    [[nodiscard]] std::int64_t version() const { return current_->version(); }
    [[nodiscard]] std::int64_t term() const { return current_->term(); }

    /// Returns up to `limit` entries after the version, in order, or nothing if they are no longer
    /// kept; the peer then needs the whole snapshot.
    [[nodiscard]] std::optional<std::vector<config_log_entry>>
    entries_since(std::int64_t version, std::size_t limit = SIZE_MAX) const;

private:
    using entry_iterator = std::vector<config_log_entry>::const_iterator;

    // Returns `adopted` if the entries follow the current version without a gap and their terms
    // never decrease; otherwise `gap` or `lower_term`.
    [[nodiscard]] adopt_outcome check_order(entry_iterator first, entry_iterator last) const;

    std::size_t max_entries_;
    std::shared_ptr<const config_snapshot> current_;
    std::deque<config_log_entry> entries_; // oldest first; the last one created the current version
};

} // namespace jujubevalve
