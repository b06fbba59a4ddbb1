#pragma once

#include "config/config_changes.h"
#include "config/config_log_entry.h"
#include "config/config_rows.h"
#include "core/result.h"
#include "core/time_ms.h"
#include "storage/table_store.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve
{

/// An edit of the tables, based on the snapshot `base`.
struct apply_request {
    config_snapshot base;
    config_snapshot::route_table routes; ///< the whole table after the edit
    config_snapshot::pool_table pools;   ///< the whole table after the edit
    std::string apply_id;                ///< unique for each apply; its retries reuse it
    std::string operator_name;           ///< if empty, the operator that holds the term
    time_ms at{};                        ///< Unix time, for the audit trail
    std::int64_t term{0};                ///< if not 0, the term that must be current
};

/// The next step after a commit, or after `resolve`.
enum class apply_step {
    done,        ///< the edit is in force as version base + 1
    plan_again,  ///< not in force, and safe to commit again: read the rows and plan again
    read_log,    ///< the outcome is unknown: read `resolve_keys()` and call `resolve`
    stale,       ///< another apply was committed first; the edit will never take effect
    unavailable, ///< the platform was not reached; this commit had no effect
    refused,     ///< planning failed permanently; the edit will never take effect
};

/// Plans one apply. Does no I/O: the caller reads the rows and commits the transaction.
class apply_planner
{
public:
    explicit apply_planner(apply_request request);
    ~apply_planner() = default;
    apply_planner(const apply_planner&) = delete;
    apply_planner& operator=(const apply_planner&) = delete;

    [[nodiscard]] const config_changes& changes() const { return changes_; }

    /// The version that a successful apply creates.
    [[nodiscard]] std::int64_t version() const { return request_.base.version() + 1; }

    /// Keys of the rows that `plan` needs: the term, the head, and the ledgers of the budgets whose
    /// grantable tokens the edit lowers.
    [[nodiscard]] std::vector<std::string> keys() const;

    /// Returns the transaction to commit. Fails with `stale_version`, `term_fenced`,
    /// `limit_below_allocated` (whose message names the lowest limit possible now), `invalid_table`
    /// or `malformed_row`.
    [[nodiscard]] result<transaction> plan(const std::vector<table_row>& rows) const;

    /// Returns the next step after the commit.
    [[nodiscard]] apply_step classify(const commit_result& commit) const;

    /// Keys of the rows that show whether a commit took effect whose response was lost.
    [[nodiscard]] std::vector<std::string> resolve_keys() const;

    /// Decides by the `apply_id` in the log entry of `version()`. Without such an entry it is safe
    /// to plan and commit again: each commit requires the head to be unchanged, so at most one of
    /// them takes effect.
    [[nodiscard]] result<apply_step> resolve(const std::vector<table_row>& rows) const;

private:
    [[nodiscard]] result<term_row> check_term(const std::vector<table_row>& rows) const;
    [[nodiscard]] status check_head(const std::vector<table_row>& rows) const;
    [[nodiscard]] status check_ledgers(const std::vector<table_row>& rows) const;

    apply_request request_;
    config_changes changes_;
    // Maps each lowered budget to one of its pools after the edit.
    std::map<std::string, const pool*> lowered_budgets_;
};

/// A row that was changed after the version on which an edit is based.
struct changed_row {
    std::string table;
    std::string name;
    std::int64_t version{0}; ///< version of its last change
    std::string operator_name;

    friend bool operator==(const changed_row&, const changed_row&) = default;
};

/// Returns the rows that the log entries changed, in table and name order, each with the version
/// and operator of its last change.
std::vector<changed_row> changed_rows(const std::vector<config_log_entry>& entries);

} // namespace jujubevalve
