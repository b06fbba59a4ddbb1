#pragma once

#include "standins/memory_faults.h"
#include "storage/table_store.h"

#include <map>
#include <memory>
#include <mutex>

namespace jujubevalve
{

/// In-memory transactional table. Thread-safe; calls never sleep.
class memory_table_store
{
public:
    explicit memory_table_store(
        std::shared_ptr<memory_faults> faults = std::make_shared<memory_faults>());

    [[nodiscard]] commit_result commit(const transaction& change);
    [[nodiscard]] result<std::vector<table_row>> read(const std::vector<std::string>& keys);
    [[nodiscard]] result<std::vector<table_row>> scan(const std::string& prefix,
                                                      const std::string& after, std::size_t limit);

    /// Runs the late commits; the conditions of each are checked now.
    void run_late_writes();

    [[nodiscard]] memory_faults& faults() { return *faults_; }

private:
    commit_result run(const transaction& change);
    [[nodiscard]] table_row row_of(const std::string& key) const;

    std::shared_ptr<memory_faults> faults_;
    std::mutex mutex_;
    std::map<std::string, table_row, std::less<>> rows_;
    std::vector<transaction> late_;
    // One counter for the whole store, so that a row that is removed and created again never gets
    // a version that an earlier read returned.
    std::int64_t last_version_{0};
};

static_assert(table_store<memory_table_store>);

} // namespace jujubevalve
