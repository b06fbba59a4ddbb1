#pragma once

#include "budget/budget.h"
#include "config/config.h"
#include "core/core.h"
#include "requests/requests.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jujubevalve::experiment
{

class sim_router;
class world;

/// The grants, request numbers, segments and transfers of one simulated router, composed as
/// `budget_service` and `transfer_service` compose them in the real process.
class sim_budget
{
public:
    using reserve_done = std::function<void(const result<reservation_id>&)>;

    sim_budget(world& sim, sim_router& router, const std::string& incarnation);

    void set_config(const config_snapshot& config);

    /// Reserves tokens. If they are short, waits for a refill, then requests a transfer from a
    /// peer.
    void reserve(const std::string& budget, token_count tokens, const reserve_done& done);

    /// Assigns the next request number at a server. Empty while too many numbers are unsettled.
    std::optional<std::int64_t> assign(const std::string& server, const std::string& budget,
                                       token_count reserved);
    /// Withdraws a request that certainly did not run. `number_known` tells whether the server has
    /// seen its number.
    void unassign(const std::string& server, std::int64_t n, bool number_known);
    /// Settles a number that the server is known to have seen.
    void settle_number(const std::string& server, std::int64_t n);

    /// Settles a reservation; without `used` it is charged in full.
    void settle(reservation_id id, std::optional<token_count> used);
    void release(reservation_id id);
    void add_bill(bill_entry entry) { writer_.add_bill(std::move(entry)); }

    /// Starts a refill if one is due. If one is in progress, another follows it while reservations
    /// are pending.
    void refill();
    /// Writes the next segment, then calls `done` with true if it was written or nothing was
    /// pending.
    void write_segment(const std::function<void(bool)>& done);
    /// Resends transfers that have not been acknowledged.
    void resend_transfers();

    /// Closes the grants. Returns true once all are closed.
    bool close();

    /// Returns the available tokens of the largest budgets, as announced to peers.
    [[nodiscard]] std::map<std::string, token_count> announced() const;

    [[nodiscard]] grant_tracker& grants() { return grants_; }
    [[nodiscard]] transfer_tracker& transfers() { return transfers_; }
    [[nodiscard]] std::int64_t last_segment() const { return writer_.last_seq(); }
    [[nodiscard]] bool has_unwritten() const { return writer_.has_pending(); }

private:
    using policy_variant =
        std::variant<demand_driven, static_shares, platform_per_request, reclaim_by_time>;

    struct pending_reservation {
        std::string budget;
        token_count tokens{0};
        reserve_done done;
        std::uint64_t id{0};
    };

    static policy_variant make_policy(const std::string& name);
    void retry_pending();
    void expire_pending(std::uint64_t id);
    void request_transfer(const pending_reservation& pending, const failure& error);
    transfer_response credit(const transfer& offer);
    void resend_transfer(const transfer& sent);
    void settle_with_closed_grant(const transfer& sent);
    [[nodiscard]] refill_batch plan();
    void run_refill_step();
    void handle_rows(const refill_batch& batch, const result<std::vector<table_row>>& rows);
    [[nodiscard]] failure refusal(const std::string& budget, result_code code) const;
    [[nodiscard]] segment_writer& writer() { return writer_; }

    world& sim_;
    sim_router& router_;
    grant_tracker grants_;
    grant_planner planner_;
    transfer_tracker transfers_;
    segment_writer writer_;
    policy_variant policy_;
    bool transfers_enabled_;
    std::map<std::string, server_sequence> sequences_;
    std::map<std::pair<std::string, std::int64_t>, open_request> open_requests_;
    std::list<pending_reservation> pending_;
    std::uint64_t last_pending_id_{0};
    bool refilling_{false};
    bool refill_requested_{false};
    bool closing_{false};
    bool writing_segment_{false};
};

} // namespace jujubevalve::experiment
