#pragma once

#include "storage/table_store.h"

#include <map>
#include <string>
#include <vector>

namespace jujubevalve::testing
{

/// In-memory store with conditional writes.
class memory_row_store
{
public:
    commit_result commit(const transaction& change, std::vector<table_row>& current)
    {
        commit_result done;
        for (const auto& condition : change.conditions) {
            auto& row = rows_[condition.key];
            row.key = condition.key;
            current.push_back(row);
            if (row.version != condition.version) {
                done.conflicts.push_back(condition.key);
            }
        }
        if (!done.conflicts.empty()) {
            done.outcome = commit_outcome::conflict;
            return done;
        }
        ++version_;
        for (const auto& write : change.writes) {
            rows_[write.key] = {write.key, write.value, version_};
            done.versions.push_back(version_);
        }
        done.outcome = commit_outcome::committed;
        return done;
    }

    [[nodiscard]] std::vector<table_row> read(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::vector<table_row>{} : std::vector{found->second};
    }

private:
    std::map<std::string, table_row> rows_;
    std::int64_t version_{0};
};

} // namespace jujubevalve::testing
