#include "router/unresolved_runs.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

unresolved_runs::unresolved_runs(backend_client& backends, server_pools& pools,
                                 budget_service& budgets, counters& counts,
                                 time_ms max_unresolved_time)
    : backends_{backends}
    , pools_{pools}
    , budgets_{budgets}
    , counts_{counts}
    , max_unresolved_time_{max_unresolved_time}
{
}

void unresolved_runs::add(const spend_ticket& ticket, const std::string& key)
{
    const lost_run run{ticket, key, clock_.now()};
    if (resolve(run)) {
        return;
    }
    const std::lock_guard lock{mutex_};
    runs_.push_back(run);
}

void unresolved_runs::resolve()
{
    std::vector<lost_run> pending;
    {
        const std::lock_guard lock{mutex_};
        pending = std::exchange(runs_, {});
    }
    std::vector<lost_run> unresolved;
    for (const auto& run : pending) {
        if (!resolve(run)) {
            unresolved.push_back(run);
        }
    }
    const std::lock_guard lock{mutex_};
    runs_.insert(runs_.end(), unresolved.begin(), unresolved.end());
    counts_.at("runs_unresolved") = static_cast<std::int64_t>(runs_.size());
}

bool unresolved_runs::resolve(const lost_run& run)
{
    const auto address = pools_.address_of(run.ticket.server);
    const auto answer = address ? backends_.cancel(*address, run.key)
                                : result<cancel_result>{failure{result_code::unknown_name, {}}};
    if (!answer) {
        if (clock_.now() - run.lost_at < max_unresolved_time_) {
            return false;
        }
        ++counts_.at("runs_charged_in_full");
        budgets_.settle(run.ticket, {std::nullopt, std::nullopt, false});
        return true;
    }
    // An engine whose records start after the loss has restarted and cannot prove that it did not
    // run the request.
    const bool ran = answer->known || answer->records_age <= clock_.now() - run.lost_at;
    spend_report report;
    if (answer->known && answer->used) {
        report.used = answer->used->total();
    } else if (!ran) {
        report.used = 0;
    }
    budgets_.settle(run.ticket, report);
    return true;
}

std::size_t unresolved_runs::size() const
{
    const std::lock_guard lock{mutex_};
    return runs_.size();
}

} // namespace jujubevalve
