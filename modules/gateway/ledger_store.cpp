#include "gateway/ledger_store.h"

#include <utility>

namespace jujubevalve
{

namespace
{
template <class Items>
void rename_all(Items& items, row_era era)
{
    for (auto& item : items) {
        item.key = key_in_era(item.key, era);
    }
}

/// Follows all characters that continue a key.
constexpr char first_after_slash = '/' + 1;
} // namespace

ledger_store::ledger_store(store_client& store)
    : store_{store}
{
}

void ledger_store::begin_era(row_era era)
{
    era_ = era;
    ++eras_begun_;
}

void ledger_store::commit(const transaction& change, store_client::commit_callback callback)
{
    auto renamed = change;
    rename_all(renamed.conditions, era_);
    rename_all(renamed.writes, era_);
    for (auto& key : renamed.deletes) {
        key = key_in_era(key, era_);
    }
    store_.commit(renamed, [this, sent_in = eras_begun_,
                            callback = std::move(callback)](const store_commit& done) {
        if (sent_in != eras_begun_) {
            return;
        }
        auto outcome = done;
        for (auto& key : outcome.outcome.conflicts) {
            key = split_era_key(key).key;
        }
        for (auto& row : outcome.current) {
            row.key = split_era_key(row.key).key;
        }
        callback(outcome);
    });
}

void ledger_store::read_row(const std::string& key, rows_callback callback)
{
    const auto name = split_row_name(key_in_era(key, era_));
    read_pages(name, name.key + '\x01', {}, std::move(callback));
}

void ledger_store::read_prefix(const std::string& prefix, rows_callback callback)
{
    auto name = split_row_name(key_in_era(prefix, era_));
    auto to = name.key;
    to.back() = first_after_slash;
    read_pages(name, to, {}, std::move(callback));
}

void ledger_store::read_pages(const row_name& from, const std::string& to, row_page read,
                              rows_callback callback)
{
    store_.read(from.table, from.part, from.key, to,
                [this, from, to, sent_in = eras_begun_, read = std::move(read),
                 callback = std::move(callback)](const result<row_page>& page) mutable {
                    if (sent_in != eras_begun_) {
                        return;
                    }
                    if (!page) {
                        callback(page);
                        return;
                    }
                    if (read.version == 0) {
                        read.version = page->version;
                    }
                    read.store_time = page->store_time;
                    for (const auto& stored : page->rows) {
                        auto name = split_era_key(stored.row.key);
                        if (name.era == era_) {
                            read.rows.push_back(stored);
                            read.rows.back().row.key = std::move(name.key);
                        }
                    }
                    if (page->more && !page->rows.empty()) {
                        auto next = from;
                        next.key = split_row_name(page->rows.back().row.key).key + '\x01';
                        read_pages(next, to, std::move(read), std::move(callback));
                        return;
                    }
                    callback(std::move(read));
                });
}

} // namespace jujubevalve
