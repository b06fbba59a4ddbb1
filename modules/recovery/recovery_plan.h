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

/// Where a recovery stands.
enum class recovery_phase {
    mark,
    segments,
    cancel,
    peers,
    rows,
    final_segments,
    close,
    finish,
    done
};

/// What a recovery needs to know from the configuration.
struct recovery_settings {
    std::int64_t term{0};
    std::int64_t at_ms{0}; ///< wall clock time for the audit entry
    /// Every backend server that the incarnations may have used, with the budgets that it has
    /// served since they started.
    std::map<std::string, std::set<std::string>> servers;
    /// Every budget of the configuration.
    std::set<std::string> budgets;
    /// Plain services cannot tell which calls they ran: no number is asked for there, and the
    /// budgets that they serve are closed as spent in full.
    std::set<std::string> plain_servers;
    std::set<std::string> charged_in_full;
    std::int64_t window{64};     ///< most request numbers outstanding to one server (W)
    std::size_t read_batch{256}; ///< rows in one read
    std::size_t close_batch{32}; ///< budgets closed in one transaction; 1 after a conflict
};

/// Closes the grants of a group of gone incarnations at their exact spend. The group is closed
/// together because transfers between two of its members are known to neither of the living. Any
/// number of routers may run a recovery of the same incarnations at the same time; every step can
/// be repeated. Usage: carry out the commands of `next` and pass each answer to `consume`; when
/// `next` is empty before `done`, something could not be reached: call `retry` later.
class recovery_plan
{
public:
    /// All members must be certainly gone (see `gone_evidence`).
    recovery_plan(const std::set<std::string>& gone, recovery_settings settings);
    ~recovery_plan();
    recovery_plan(recovery_plan&&) noexcept;
    recovery_plan& operator=(recovery_plan&&) noexcept;
    recovery_plan(const recovery_plan&) = delete;
    recovery_plan& operator=(const recovery_plan&) = delete;

    /// Commands that have not been handed out yet. May be carried out in any order.
    std::vector<recovery_command> next();

    /// Takes the answer to a command. Unknown ids and repeated answers are ignored.
    void consume(std::uint64_t id, const recovery_answer& answer);

    /// Asks again for everything that failed.
    void retry();

    [[nodiscard]] recovery_phase phase() const;
    [[nodiscard]] bool done() const { return phase() == recovery_phase::done; }

    /// Why the recovery cannot go on, for example the servers and peers that did not answer. Empty
    /// if nothing is in the way. `term_fenced` ends the recovery for good.
    [[nodiscard]] std::vector<failure> obstacles() const;

    /// Incarnations that did not answer. If one of them is gone as well, make a new plan for the
    /// larger group.
    [[nodiscard]] std::set<std::string> unreachable_peers() const;

    /// Budgets whose grants are closed.
    [[nodiscard]] const std::set<std::string>& closed_budgets() const;

    /// Spend of a member under a budget, as far as known by now; exact once the budget is closed.
    [[nodiscard]] token_count spend(const std::string& incarnation,
                                    const std::string& budget) const;

private:
    class steps;
    std::unique_ptr<steps> steps_;
};

} // namespace jujubevalve
