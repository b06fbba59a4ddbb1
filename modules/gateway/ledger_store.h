#pragma once

#include "dispatch/ledger_era.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jujubevalve
{

/// The budget rows of the store's current era, by their names of the first era. Calls that are in
/// flight when an era ends are dropped: their callbacks are not called.
class ledger_store
{
public:
    using rows_callback = std::function<void(const result<row_page>& rows)>;

    explicit ledger_store(store_client& store);

    /// Uses the rows of an era from now on.
    void begin_era(row_era era);
    [[nodiscard]] row_era era() const { return era_; }

    void commit(const transaction& change, store_client::commit_callback callback);

    /// Reads one row. Yields no row if it is absent.
    void read_row(const std::string& key, rows_callback callback);

    /// Reads all rows whose keys begin with `prefix`, which ends behind the partition. The version
    /// is that of the first page.
    void read_prefix(const std::string& prefix, rows_callback callback);

private:
    void read_pages(const row_name& from, const std::string& to, row_page read,
                    rows_callback callback);

    store_client& store_;
    row_era era_;
    std::int64_t eras_begun_{0};
};

} // namespace jujubevalve
