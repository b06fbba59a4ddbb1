#pragma once

#include "config/config_codec.h"
#include "config/config_rows.h"
#include "storage/table_store.h"

#include <cstddef>

namespace jujubevalve
{

/// Page size of a table scan, in rows.
inline constexpr std::size_t config_scan_rows = 1000;

/// Returns all rows whose key has the prefix and is greater than `after`, in key order. Blocks.
template <table_store Store>
result<std::vector<table_row>> scan_all(Store& store, const std::string& prefix,
                                        std::string after = {})
{
    std::vector<table_row> rows;
    for (;;) {
        const auto page = store.scan(prefix, after, config_scan_rows);
        if (!page) {
            return page.error();
        }
        rows.insert(rows.end(), page->begin(), page->end());
        if (page->size() < config_scan_rows) {
            return rows;
        }
        after = rows.back().key;
    }
}

/// Returns the value of one row, or an empty string if the row is absent. Blocks.
template <table_store Store>
result<std::string> load_value(Store& store, std::string_view key)
{
    const auto rows = store.read({std::string{key}});
    if (!rows) {
        return rows.error();
    }
    if (rows->size() != 1) {
        return failure{result_code::malformed_row, "the platform returned no row for a read key"};
    }
    return rows->front().version == 0 ? std::string{} : rows->front().value;
}

/// Returns the version in `config/head`, or 0 if the platform has no configuration yet. Blocks.
template <table_store Store>
result<std::int64_t> load_config_version(Store& store)
{
    const auto text = load_value(store, config_head_key);
    return text ? decode_config_head(*text) : result<std::int64_t>{text.error()};
}

/// Returns the log entries after the version, in order and without a gap. Blocks.
template <table_store Store>
result<std::vector<config_log_entry>> load_log(Store& store, std::int64_t after_version)
{
    const auto rows =
        scan_all(store, std::string{config_log_prefix}, config_log_key(after_version));
    if (!rows) {
        return rows.error();
    }
    return decode_log(*rows, after_version);
}

/// Returns both tables at one version. Reads the head before and after the tables to detect a
/// change between the reads; fails with `platform_conflict` if every attempt sees one. Blocks.
template <table_store Store>
result<config_snapshot> load_snapshot(Store& store, int attempts = 5)
{
    for (int i = 0; i < attempts; ++i) {
        const auto before = load_config_version(store);
        if (!before) {
            return before.error();
        }
        const auto entry = load_value(store, config_log_key(*before));
        const auto routes = scan_all(store, std::string{routes_prefix});
        const auto pools = scan_all(store, std::string{pools_prefix});
        const auto after = load_config_version(store);
        if (!entry || !routes || !pools || !after) {
            return !entry    ? entry.error()
                   : !routes ? routes.error()
                   : !pools  ? pools.error()
                             : after.error();
        }
        if (*before == *after) {
            return decode_tables(*before, *entry, *routes, *pools);
        }
    }
    return failure{result_code::platform_conflict,
                   "config/head changed during each of several reads of the tables"};
}

} // namespace jujubevalve
