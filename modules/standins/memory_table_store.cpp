#include "standins/memory_table_store.h"

#include <utility>

namespace jujubevalve
{

namespace
{
failure outage()
{
    return {result_code::platform_unavailable, "the platform is down"};
}
} // namespace

memory_table_store::memory_table_store(std::shared_ptr<memory_faults> faults)
    : faults_{std::move(faults)}
{
}

commit_result memory_table_store::commit(const transaction& change)
{
    const auto rows = change.writes.size() + change.deletes.size();
    if (!faults_->admit_write(static_cast<std::int64_t>(rows))) {
        return {commit_outcome::unavailable, {}, {}};
    }
    const std::lock_guard lock{mutex_};
    if (faults_->is_late()) {
        late_.push_back(change);
        return {commit_outcome::unknown, {}, {}};
    }
    auto commit = run(change);
    return faults_->lose_answer() ? commit_result{commit_outcome::unknown, {}, {}} : commit;
}

result<std::vector<table_row>> memory_table_store::read(const std::vector<std::string>& keys)
{
    if (!faults_->admit_read()) {
        return outage();
    }
    const std::lock_guard lock{mutex_};
    std::vector<table_row> rows;
    rows.reserve(keys.size());
    for (const auto& key : keys) {
        rows.push_back(row_of(key));
    }
    return rows;
}

result<std::vector<table_row>> memory_table_store::scan(const std::string& prefix,
                                                        const std::string& after, std::size_t limit)
{
    if (!faults_->admit_read()) {
        return outage();
    }
    const std::lock_guard lock{mutex_};
    std::vector<table_row> rows;
    auto at = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; at != rows_.end() && rows.size() < limit && at->first.starts_with(prefix); ++at) {
        rows.push_back(at->second);
    }
    return rows;
}

void memory_table_store::run_late_writes()
{
    const std::lock_guard lock{mutex_};
    for (const auto& change : std::exchange(late_, {})) {
        run(change);
    }
}

commit_result memory_table_store::run(const transaction& change)
{
    commit_result commit{commit_outcome::committed, {}, {}};
    for (const auto& condition : change.conditions) {
        if (row_of(condition.key).version != condition.version) {
            commit.conflicts.push_back(condition.key);
        }
    }
    if (!commit.conflicts.empty()) {
        commit.outcome = commit_outcome::conflict;
        return commit;
    }
    for (const auto& write : change.writes) {
        rows_[write.key] = {write.key, write.value, ++last_version_};
        commit.versions.push_back(last_version_);
    }
    for (const auto& key : change.deletes) {
        rows_.erase(key);
    }
    return commit;
}

table_row memory_table_store::row_of(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? table_row{key, {}, 0} : found->second;
}

} // namespace jujubevalve
