#pragma once

#include "budget/budget.h"
#include "config/config.h"
#include "experiment/messages.h"
#include "experiment/run_report.h"
#include "load/attempt_policy.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve::experiment
{

/// Sees the truth at backend servers and callers and counts what the promises and measures of
/// docs/design.md say. No decision of a router depends on it.
class arbiter
{
public:
    /// The limit and the safety margin of a budget from now on.
    void set_limit(const std::string& budget, token_count limit, token_count margin);

    /// Spend of earlier incarnations under a budget.
    void add_history(const std::string& budget, token_count spent);

    /// A caller has a new request.
    void request_made(const sim_request& request);

    /// A backend server begins or ends a run for an incarnation; `used` of the whole run counts
    /// from the beginning, so that an overspend shows at the earliest moment.
    void run_started(const sim_request& request, const std::string& incarnation);
    void run_ended(const sim_request& request, const std::string& incarnation, token_count used);

    /// A request was sent to a server. `since` is how long it has been leaving.
    void sent_to_leaving(time_ms since);

    /// An attempt was refused.
    void attempt_refused(const sim_request& request, const sim_reply& reply);

    /// A request has come to its end for the caller. `free_slots` are those of its server set.
    void request_ended(const sim_request& request, caller_outcome outcome, const sim_reply& last,
                       std::int64_t free_slots);

    /// A router dies or begins to drain.
    void died(const std::string& incarnation, const std::string& budget, token_count held);
    void in_flight_at_drain(std::uint64_t request) { at_drain_.insert(request); }

    /// A router has put a version in force, `delay` after its apply; or one lower than before.
    void config_adopted(time_ms delay);
    void config_reverted() { ++report_.config_reverts; }

    /// Compares bill and closed grants with the truth.
    void check_bill(const std::vector<bill_entry>& bill);
    void check_closed_grant(const std::string& incarnation, const std::string& budget,
                            const grant_row& row);

    [[nodiscard]] run_report& report() { return report_; }
    [[nodiscard]] const std::set<std::string>& dead() const { return dead_; }

    /// Prints refusals to standard error.
    void trace(bool on) { trace_ = on; }

private:
    struct account_of_budget {
        token_count limit{0};
        token_count margin{0};
        token_count spent{0};    ///< whole runs counted from their beginning
        token_count settled{0};  ///< runs that have ended
        token_count reserved{0}; ///< of runs in flight
    };
    struct truth {
        std::string account;
        bool idempotent{true};
        int runs{0};
        bool told_not_run{false};
        bool answered{false};
    };

    void judge_refusal(const sim_request& request, const sim_reply& last, std::int64_t free_slots);

    std::map<std::string, account_of_budget> budgets_;
    std::map<std::string, token_count> excess_;
    std::map<std::uint64_t, truth> requests_;
    std::map<std::pair<std::string, std::string>, token_count> spent_by_; ///< incarnation, budget
    std::set<std::uint64_t> at_drain_;
    std::set<std::string> dead_;
    run_report report_;
    bool trace_{false};
};

/// Tells the id of the request from its key; callers end their keys with `r<id>.`.
std::uint64_t request_of_key(std::string_view key);

} // namespace jujubevalve::experiment
