#pragma once

#include "storage/table_store.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve::testing
{

/// What happens to a commit. `answered`: applied, the response arrives. `lost_after`: applied, the
/// response is lost. `lost_before`: not applied, no response. `delayed`: applied by `flush_late`,
/// no response. `not_sent`: not applied, reported as unavailable.
enum class commit_fate { answered, lost_after, lost_before, delayed, not_sent };

/// An in-memory table service and object store that can lose responses and apply writes late.
class fake_platform
{
public:
    std::map<std::string, std::string> objects;

    [[nodiscard]] std::vector<table_row> read(const std::vector<std::string>& keys) const
    {
        std::vector<table_row> found;
        for (const auto& key : keys) {
            const auto row = rows_.find(key);
            found.push_back(row == rows_.end() ? table_row{key, "", 0} : row->second);
        }
        return found;
    }

    [[nodiscard]] std::vector<table_row> scan(const std::string& prefix) const
    {
        std::vector<table_row> found;
        for (auto row = rows_.lower_bound(prefix);
             row != rows_.end() && row->first.starts_with(prefix); ++row) {
            found.push_back(row->second);
        }
        return found;
    }

    [[nodiscard]] std::string value(const std::string& key) const { return read({key})[0].value; }

    void put(const std::string& key, const std::string& value)
    {
        auto& row = rows_[key];
        row = {key, value, row.version + 1};
    }

    commit_result commit(const transaction& change, commit_fate fate = commit_fate::answered)
    {
        if (fate == commit_fate::not_sent) {
            return {commit_outcome::unavailable, {}, {}};
        }
        if (fate == commit_fate::delayed) {
            delayed_.push_back(change);
        }
        if (fate == commit_fate::delayed || fate == commit_fate::lost_before) {
            return {commit_outcome::unknown, {}, {}};
        }
        auto done = carry_out(change);
        return fate == commit_fate::answered ? done
                                             : commit_result{commit_outcome::unknown, {}, {}};
    }

    /// Applies the delayed commits if their conditions still hold.
    void flush_late()
    {
        for (const auto& change : std::exchange(delayed_, {})) {
            carry_out(change);
        }
    }

private:
    commit_result carry_out(const transaction& change)
    {
        commit_result done{commit_outcome::committed, {}, {}};
        for (const auto& condition : change.conditions) {
            if (read({condition.key})[0].version != condition.version) {
                done.conflicts.push_back(condition.key);
            }
        }
        if (!done.conflicts.empty()) {
            done.outcome = commit_outcome::conflict;
            return done;
        }
        for (const auto& write : change.writes) {
            put(write.key, write.value);
            done.versions.push_back(rows_.at(write.key).version);
        }
        return done;
    }

    std::map<std::string, table_row> rows_;
    std::vector<transaction> delayed_;
};

} // namespace jujubevalve::testing
