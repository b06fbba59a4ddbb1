#pragma once

#include "budget/budget.h"
#include "recovery/recovery_command.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jujubevalve
{

/// The phases of a recovery, in order.
enum class recovery_phase {
    mark_recovering,      ///< marks the instance rows as recovering
    read_segments,        ///< reads the settlement segments of the terminated incarnations
    cancel_requests,      ///< cancels unsettled requests at the backend servers
    query_peers,          ///< requests the transfer totals of live incarnations
    find_grants,          ///< finds the budgets under which the incarnations hold grants
    write_final_segments, ///< writes the spend and bills of the requests found
    reclaim_grants,       ///< closes the grants and returns unspent tokens to the ledgers
    mark_closed,          ///< marks the instance rows as closed and writes audit entries
    done
};

/// Settings of a recovery; the servers and budgets come from the configuration.
struct recovery_settings {
    std::int64_t term{0};
    std::int64_t at_ms{0}; ///< wall clock time in ms for the audit entries
    /// Every backend server that the incarnations may have used, with the budgets that it has
    /// served since the incarnations started.
    std::map<std::string, std::set<std::string>> servers;
    /// All budgets of the configuration.
    std::set<std::string> budgets;
    /// Plain services cannot report which calls they ran, so the recovery cancels no requests there
    /// and charges the grants of the budgets that they serve in full.
    std::set<std::string> plain_servers;
    std::set<std::string> charged_in_full; ///< budgets that are served by plain services
    std::int64_t window{64}; ///< max. request numbers in flight from an incarnation to one server
    std::size_t rows_per_read{256};
    std::size_t budgets_per_transaction{32}; ///< max. budgets reclaimed at once; 1 after a conflict
};

/// Reclaims the grants of a group of terminated incarnations: closes each grant at its exact spend
/// and returns the rest to the ledger. The whole group is recovered at once, because no live
/// incarnation knows of the transfers between two members. Any number of routers may recover the
/// same incarnations concurrently; every step can be repeated. Usage: execute the commands returned
/// by `next` and pass each answer to `consume`. If `next` returns nothing before `done`, some
/// commands failed or a budget could not be closed: call `retry` later.
class recovery_plan
{
public:
    /// All incarnations in `terminated` must have provably terminated (see `termination_proof`).
    recovery_plan(const std::set<std::string>& terminated, recovery_settings settings);
    ~recovery_plan();
    recovery_plan(recovery_plan&&) noexcept;
    recovery_plan& operator=(recovery_plan&&) noexcept;
    recovery_plan(const recovery_plan&) = delete;
    recovery_plan& operator=(const recovery_plan&) = delete;

    /// Returns the commands that have not been returned yet. They may be executed in any order.
    std::vector<recovery_command> next();

    /// Processes the answer to a command. Ignores unknown ids and repeated answers.
    void consume(std::uint64_t id, const recovery_answer& answer);

    /// Retries all failed commands and the budgets that could not be reclaimed.
    void retry();

    [[nodiscard]] recovery_phase phase() const;
    [[nodiscard]] bool done() const { return phase() == recovery_phase::done; }

    /// Returns the errors that block the recovery, for example servers and peers that did not
    /// answer. After `term_fenced`, the recovery cannot continue.
    [[nodiscard]] std::vector<failure> obstacles() const;

    /// Returns the live incarnations that did not answer. If one of them has terminated as well,
    /// create a new plan for the larger group.
    [[nodiscard]] std::set<std::string> unreachable_peers() const;

    /// Returns the budgets whose grants have been reclaimed.
    [[nodiscard]] const std::set<std::string>& reclaimed_budgets() const;

    /// Returns the spend of a terminated incarnation under a budget that is known so far. It is
    /// exact once the grants of the budget have been reclaimed.
    [[nodiscard]] token_count spend(const std::string& incarnation,
                                    const std::string& budget) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
