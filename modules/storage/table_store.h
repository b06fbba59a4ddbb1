#pragma once

#include "core/result.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// A row of the platform's table service. Version 0 means that the row does not exist.
struct table_row {
    std::string key;
    std::string value;
    std::int64_t version{0};

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// Requires a row to have this version at commit time; 0 requires that it does not exist.
struct row_condition {
    std::string key;
    std::int64_t version{0};

    friend bool operator==(const row_condition&, const row_condition&) = default;
};

/// A new value for a row.
struct row_write {
    std::string key;
    std::string value;

    friend bool operator==(const row_write&, const row_write&) = default;
};

/// All writes take effect if all conditions hold, otherwise none.
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<std::string> deletes;

    friend bool operator==(const transaction&, const transaction&) = default;
};

/// `unknown`: the response was lost; the writes may have taken effect or may still do so.
/// `unavailable`: the transaction was certainly not executed.
enum class commit_outcome { committed, conflict, unknown, unavailable };

/// Outcome of a commit. After `committed`, the new versions of the written rows in the order of
/// the writes; after `conflict`, the keys whose condition failed.
struct commit_result {
    commit_outcome outcome{commit_outcome::unknown};
    std::vector<std::int64_t> versions;
    std::vector<std::string> conflicts;
};

/// The platform's transactional table service. Calls block; reads are linearizable.
/// `read` returns one row for each key, with version 0 for absent rows. `scan` returns at most
/// `limit` rows whose keys start with the prefix and are greater than `after`, in key order.
template <class T>
concept table_store = requires(T& store, const transaction& change,
                               const std::vector<std::string>& keys, const std::string& text,
                               std::size_t limit)
{
    {
        store.commit(change)
        } -> std::same_as<commit_result>;
    {
        store.read(keys)
        } -> std::same_as<result<std::vector<table_row>>>;
    {
        store.scan(text, text, limit)
        } -> std::same_as<result<std::vector<table_row>>>;
};

} // namespace jujubevalve
