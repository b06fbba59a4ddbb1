#pragma once

#include "config/apply_planner.h"
#include "config/config_loader.h"

#include <cstdint>
#include <vector>

namespace jujubevalve
{

/// How an apply ended.
enum class apply_outcome {
    applied,     ///< the edit is in force
    refused,     ///< the edit did not take effect; the failure names the reason
    unavailable, ///< the platform was not reached; the edit did not take effect
    unknown,     ///< the edit may have taken effect, now or later
};

/// Outcome of an apply with the version that it made, or the reason that it did not.
struct apply_report {
    apply_outcome outcome{apply_outcome::unknown};
    std::int64_t version{0};
    failure why;
    std::vector<stale_row> changed; ///< after `stale_version`, what changed since the base
};

/// Carries out planned applies on a platform.
template <table_store Store>
class config_applier
{
public:
    /// Repeats at most `attempts` times. `wait(n)` is called before repetition n and may block.
    template <class Wait>
    static apply_report apply(Store& store, const apply_planner& planner, int attempts, Wait wait)
    {
        bool sent = false; // a commit without an answer may still take effect
        failure why{result_code::platform_unavailable, "the platform was not asked"};
        for (int i = 0; i < attempts; ++i) {
            if (i > 0) {
                wait(i);
            }
            switch (attempt(store, planner, sent, why)) {
            case apply_step::done:
                return {apply_outcome::applied, planner.version(), {}, {}};
            case apply_step::stale:
                return stale(store, planner);
            case apply_step::refused:
                return {apply_outcome::refused, 0, why, {}};
            default:
                break;
            }
        }
        if (sent) {
            return {apply_outcome::unknown,
                    0,
                    {result_code::platform_outcome_unknown, why.message},
                    {}};
        }
        return {why.code == result_code::platform_unavailable ? apply_outcome::unavailable
                                                              : apply_outcome::refused,
                0,
                why,
                {}};
    }

private:
    static apply_step attempt(Store& store, const apply_planner& planner, bool& sent, failure& why)
    {
        const auto rows = store.read(planner.keys());
        if (!rows) {
            why = rows.why();
            return apply_step::unavailable;
        }
        const auto change = planner.plan(*rows);
        if (!change) {
            why = change.why();
            // The head may have been moved by an own commit whose answer was lost. Any other
            // refusal is final: a row that the lost commit requires unchanged has changed since.
            return why.code == result_code::stale_version ? resolve(store, planner, why)
                                                          : apply_step::refused;
        }
        const auto commit = store.commit(*change);
        sent = sent || commit.outcome == commit_outcome::unknown;
        why = commit.outcome == commit_outcome::conflict
                  ? failure{result_code::platform_conflict, "rows changed during each attempt"}
                  : failure{result_code::platform_unavailable, "the platform gave no answer"};
        const auto step = planner.classify(commit);
        return step == apply_step::read_log ? resolve(store, planner, why) : step;
    }

    static apply_step resolve(Store& store, const apply_planner& planner, failure& why)
    {
        const auto rows = store.read(planner.resolve_keys());
        const auto step = rows ? planner.resolve(*rows) : result<apply_step>{rows.why()};
        if (!step) {
            why = step.why();
            return apply_step::unavailable;
        }
        return *step;
    }

    static apply_report stale(Store& store, const apply_planner& planner)
    {
        apply_report report{apply_outcome::refused, 0, {}, {}};
        report.why = {result_code::stale_version, "another edit was applied since the version that "
                                                  "this one was made from"};
        if (const auto log = load_log(store, planner.version() - 1)) {
            report.changed = changed_rows(*log);
        }
        return report;
    }
};

/// Applies an edit: reads, plans, commits and resolves lost answers by the log. Blocks.
template <table_store Store, class Wait>
apply_report apply_edit(Store& store, const apply_planner& planner, int attempts, Wait wait)
{
    return config_applier<Store>::apply(store, planner, attempts, wait);
}

} // namespace jujubevalve
