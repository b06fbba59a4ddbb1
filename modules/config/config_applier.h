#pragma once

#include "config/apply_planner.h"
#include "config/config_loader.h"

#include <cstdint>
#include <vector>

namespace jujubevalve
{

/// Outcome of an apply.
enum class apply_outcome {
    applied,     ///< the edit is in force
    refused,     ///< the edit did not take effect; the report has the reason
    unavailable, ///< the platform was not reached; the edit did not take effect
    unknown,     ///< the edit may have taken effect, now or later
};

/// Outcome of an apply, with the version that it created or the reason why it failed.
struct apply_report {
    apply_outcome outcome{apply_outcome::unknown};
    std::int64_t version{0};
    failure error;
    std::vector<changed_row>
        changed; ///< after `stale_version`: rows changed since the base version
};

/// Runs a planned apply against a table store.
template <table_store Store>
class config_applier
{
public:
    /// Makes up to `attempts` attempts. Calls `wait(n)`, which may block, before the n-th retry.
    template <class Wait>
    static apply_report apply(Store& store, const apply_planner& planner, int attempts, Wait wait)
    {
        bool maybe_committed = false; // a commit without a response may still take effect
        failure last_failure{result_code::platform_unavailable, "the platform was not asked"};
        for (int i = 0; i < attempts; ++i) {
            if (i > 0) {
                wait(i);
            }
            switch (attempt(store, planner, maybe_committed, last_failure)) {
            case apply_step::done:
                return {apply_outcome::applied, planner.version(), {}, {}};
            case apply_step::stale:
                return stale_report(store, planner);
            case apply_step::refused:
                return {apply_outcome::refused, 0, last_failure, {}};
            default:
                break;
            }
        }
        if (maybe_committed) {
            return {apply_outcome::unknown,
                    0,
                    {result_code::platform_outcome_unknown, last_failure.message},
                    {}};
        }
        return {last_failure.code == result_code::platform_unavailable ? apply_outcome::unavailable
                                                                       : apply_outcome::refused,
                0,
                last_failure,
                {}};
    }

private:
    static apply_step attempt(Store& store, const apply_planner& planner, bool& maybe_committed,
                              failure& last_failure)
    {
        const auto rows = store.read(planner.keys());
        if (!rows) {
            last_failure = rows.error();
            return apply_step::unavailable;
        }
        const auto planned = planner.plan(*rows);
        if (!planned) {
            last_failure = planned.error();
            // The head may have been changed by an earlier commit of this apply whose response was
            // lost. Any other refusal is final: the lost commit can't take effect any more, because
            // a row that it requires to be unchanged has changed since.
            return last_failure.code == result_code::stale_version
                       ? resolve(store, planner, last_failure)
                       : apply_step::refused;
        }
        const auto commit = store.commit(*planned);
        maybe_committed = maybe_committed || commit.outcome == commit_outcome::unknown;
        last_failure =
            commit.outcome == commit_outcome::conflict
                ? failure{result_code::platform_conflict, "rows changed during each attempt"}
                : failure{result_code::platform_unavailable, "the platform gave no answer"};
        const auto step = planner.classify(commit);
        return step == apply_step::read_log ? resolve(store, planner, last_failure) : step;
    }

    static apply_step resolve(Store& store, const apply_planner& planner, failure& last_failure)
    {
        const auto rows = store.read(planner.resolve_keys());
        const auto step = rows ? planner.resolve(*rows) : result<apply_step>{rows.error()};
        if (!step) {
            last_failure = step.error();
            return apply_step::unavailable;
        }
        return *step;
    }

    static apply_report stale_report(Store& store, const apply_planner& planner)
    {
        apply_report report{apply_outcome::refused, 0, {}, {}};
        report.error = {result_code::stale_version,
                        "another edit was applied since the version that "
                        "this one was made from"};
        if (const auto log = load_log(store, planner.version() - 1)) {
            report.changed = changed_rows(*log);
        }
        return report;
    }
};

/// Applies an edit: reads the rows, plans, commits, and if a response is lost, looks up the outcome
/// in the log. Blocks.
template <table_store Store, class Wait>
apply_report apply_edit(Store& store, const apply_planner& planner, int attempts, Wait wait)
{
    return config_applier<Store>::apply(store, planner, attempts, wait);
}

} // namespace jujubevalve
