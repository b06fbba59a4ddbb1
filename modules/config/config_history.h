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

/// What became of an offered version.
enum class adopt_outcome {
    adopted,
    already_known, ///< not higher than the version in force
    gap,           ///< versions between the one in force and this one are missing
    lower_term,    ///< made in an earlier term than the one in force
    diverged,      ///< its `before` rows differ from the tables in force
};

/// The configuration in force and its most recent log entries. The version in force only rises, and
/// so does its term: nothing that a peer or the platform offers makes it revert.
class config_history
{
public:
    /// Keeps at most this many log entries for peers.
    explicit config_history(std::size_t max_entries = 1000);

    /// Puts the next version in force.
    adopt_outcome adopt(const config_log_entry& entry);

    /// Puts several versions in force at once; the tables are copied once for all of them. Entries
    /// that are already known are skipped. If an entry does not fit, nothing changes.
    adopt_outcome adopt(const std::vector<config_log_entry>& entries);

    /// Puts a whole snapshot in force; the entries kept so far are dropped.
    adopt_outcome adopt(const config_snapshot& snapshot);

    /// The tables in force, never null; version 0 is empty. Later adoptions do not change it.
    [[nodiscard]] std::shared_ptr<const config_snapshot> current() const { return current_; }
    [[nodiscard]] std::int64_t version() const { return current_->version(); }
    [[nodiscard]] std::int64_t term() const { return current_->term(); }

    /// The entries after the version, at most `limit`, in order. Nothing if they are no longer
    /// kept: the peer then needs the snapshot.
    [[nodiscard]] std::optional<std::vector<config_log_entry>>
    entries_since(std::int64_t version, std::size_t limit = SIZE_MAX) const;

private:
    using entry_iterator = std::vector<config_log_entry>::const_iterator;

    // Whether the entries follow the version in force without a gap and in terms that only rise.
    [[nodiscard]] adopt_outcome check_order(entry_iterator first, entry_iterator last) const;

    std::size_t max_entries_;
    std::shared_ptr<const config_snapshot> current_;
    std::deque<config_log_entry> entries_; // the last one made the version in force
};

} // namespace jujubevalve
