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

/// Observes the actual events at backend servers and callers, checks the promises of
/// docs/design.md and collects its metrics. No decision of a router depends on it.
class invariant_checker
{
public:
    /// Sets the limit and the safety margin of a budget from now on.
    void set_limit(const std::string& budget, token_count limit, token_count margin);

    /// Adds spend of earlier incarnations to a budget.
    void add_history(const std::string& budget, token_count spent);

    /// A caller has created a request.
    void request_created(const sim_request& request);

    /// A backend server starts or ends a run for an incarnation. The tokens of the whole run count
    /// as spent from its start, so that an overspend is detected as early as possible.
    void run_started(const sim_request& request, const std::string& incarnation);
    void run_ended(const sim_request& request, const std::string& incarnation, token_count used);

    /// A request reached a server that has been leaving for `elapsed`.
    void request_sent_to_leaving_server(time_ms elapsed);

    /// A caller received an error for one attempt.
    void attempt_refused(const sim_request& request, const sim_reply& reply);

    /// The caller has finished a request. `free_slots` counts the free slots of its server set.
    void request_ended(const sim_request& request, caller_outcome outcome, const sim_reply& last,
                       std::int64_t free_slots);

    /// A router was killed while its grant of a budget held `held` tokens, available or reserved.
    void router_killed(const std::string& incarnation, const std::string& budget, token_count held);
    /// The request was in flight when its router began to drain.
    void in_flight_at_drain(std::uint64_t request) { in_flight_at_drain_.insert(request); }

    /// A router adopted a configuration version `delay` after it became reachable, or went back to
    /// a lower version.
    void config_adopted(time_ms delay);
    void config_reverted() { ++report_.config_reverts; }

    /// Compares the bill and the closed grants with what actually ran.
    void check_bill(const std::vector<bill_entry>& bill);
    void check_closed_grant(const std::string& incarnation, const std::string& budget,
                            const grant_row& row);

    [[nodiscard]] run_report& report() { return report_; }
    [[nodiscard]] const std::set<std::string>& killed() const { return killed_; }

    /// Whether refusals are printed to standard error.
    void trace(bool on) { trace_ = on; }

private:
    struct budget_account {
        token_count limit{0};
        token_count margin{0};
        token_count spent{0};    ///< whole runs, counted from their start
        token_count settled{0};  ///< runs that have ended
        token_count reserved{0}; ///< by runs in flight
    };
    struct request_state {
        std::string account;
        bool idempotent{true};
        int runs{0};
        bool reported_not_run{false};
        bool answered{false};
    };

    void classify_refusal(const sim_request& request, const sim_reply& last,
                          std::int64_t free_slots);

    std::map<std::string, budget_account> budgets_;
    std::map<std::string, token_count> max_excess_;
    std::map<std::uint64_t, request_state> requests_;
    std::map<std::pair<std::string, std::string>, token_count>
        spent_by_incarnation_; ///< incarnation, budget
    std::set<std::uint64_t> in_flight_at_drain_;
    std::set<std::string> killed_;
    run_report report_;
    bool trace_{false};
};

/// Returns the request id from an idempotency key, which ends in `/r<id>`, or 0 if it has none.
std::uint64_t request_of_key(std::string_view key);

} // namespace jujubevalve::experiment
