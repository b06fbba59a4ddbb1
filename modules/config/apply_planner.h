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

/// An edit of the tables that was made from `base`.
struct apply_request {
    config_snapshot base;
    config_snapshot::route_table routes; ///< the whole table after the edit
    config_snapshot::pool_table pools;   ///< the whole table after the edit
    std::string apply_id;                ///< unique to this apply, the same for its retries
    std::string operator_name;           ///< if empty, the operator of the term
    time_ms at{};                        ///< Unix time, for the audit trail
    std::int64_t term{0};                ///< if not 0, the term that must be in force
};

/// What follows from a commit or a resolving read.
enum class apply_step {
    done,       ///< the edit is in force as version base + 1
    plan_again, ///< read the rows and plan again; nothing has taken effect, or it would be repeated
    read_log,   ///< the outcome is not clear: read `resolve_keys()` and call `resolve`
    stale,      ///< another apply came first; the edit did not and will not take effect
    unavailable, ///< the platform was not reached; this commit did not take effect
    refused,     ///< planning failed for good; the edit did not and will not take effect
};

/// Plans one apply: pure decisions over rows that the caller reads and commits.
class apply_planner
{
public:
    explicit apply_planner(apply_request request);
    ~apply_planner() = default;
    apply_planner(const apply_planner&) = delete;
    apply_planner& operator=(const apply_planner&) = delete;

    [[nodiscard]] const config_changes& changes() const { return changes_; }

    /// The version that a successful apply makes.
    [[nodiscard]] std::int64_t version() const { return request_.base.version() + 1; }

    /// The rows that `plan` needs: term, head, and the ledgers of lowered limits.
    [[nodiscard]] std::vector<std::string> keys() const;

    /// Makes the transaction. Fails with `stale_version`, `term_fenced`, `limit_below_allocated`
    /// (naming the lowest limit possible now), `invalid_table` or `malformed_row`.
    [[nodiscard]] result<transaction> plan(const std::vector<table_row>& rows) const;

    /// What to do after the commit.
    [[nodiscard]] apply_step classify(const commit_result& commit) const;

    /// The rows that show whether a commit with a lost answer took effect.
    [[nodiscard]] std::vector<std::string> resolve_keys() const;

    /// Decides by the `apply_id` in the log. If the log has no entry of the version yet, planning
    /// and committing again is safe: the head's condition lets at most one of the commits take
    /// effect.
    [[nodiscard]] result<apply_step> resolve(const std::vector<table_row>& rows) const;

private:
    [[nodiscard]] result<term_row> check_term(const std::vector<table_row>& rows) const;
    [[nodiscard]] status check_head(const std::vector<table_row>& rows) const;
    [[nodiscard]] status check_ledgers(const std::vector<table_row>& rows) const;

    apply_request request_;
    config_changes changes_;
    std::map<std::string, const pool*> lowered_; // budget to one of its pools after the edit
};

/// A row that changed after the version an edit was made from.
struct stale_row {
    std::string table;
    std::string name;
    std::int64_t version{0}; ///< of its last change
    std::string operator_name;

    friend bool operator==(const stale_row&, const stale_row&) = default;
};

/// The rows that the log entries changed, in table and name order, each with its last change.
std::vector<stale_row> changed_rows(const std::vector<config_log_entry>& entries);

} // namespace jujubevalve
