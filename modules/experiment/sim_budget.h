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

    sim_budget(world& all, sim_router& owner, const std::string& incarnation);

    void set_config(const config_snapshot& config);

    /// Reserves tokens; waits for a refill and then asks a peer for a transfer.
    void reserve(const std::string& budget, token_count tokens, const reserve_done& done);

    /// Numbers a request at a server. Empty while too many are unsettled.
    std::optional<std::int64_t> assign(const std::string& server, const std::string& budget,
                                       token_count reserved);
    /// The request certainly did not reach the server.
    void unassign(const std::string& server, std::int64_t n, bool number_known);
    /// The server has shown that it knows the number.
    void settle_number(const std::string& server, std::int64_t n);

    /// Ends a reservation; without `used` it is charged in full.
    void settle(reservation_id id, std::optional<token_count> used);
    void release(reservation_id id);
    void add_bill(bill_entry entry) { writer_.add_bill(std::move(entry)); }

    /// Starts whatever refill is due.
    void refill();
    /// Writes the next segment, then calls `done` with whether nothing is left to write.
    void write_segment(const std::function<void(bool)>& done);
    /// Repeats transfers that have not been acknowledged.
    void repeat_transfers();

    /// Closes grants; true once all are closed.
    bool close();

    /// What is available of a budget, as announced to others: the richest budgets.
    [[nodiscard]] std::map<std::string, token_count> announced() const;

    [[nodiscard]] grant_book& book() { return book_; }
    [[nodiscard]] transfer_book& transfers() { return transfers_; }
    [[nodiscard]] std::int64_t last_segment() const { return writer_.last_seq(); }
    [[nodiscard]] bool has_unwritten() const { return writer_.has_pending(); }

private:
    using policy_variant =
        std::variant<demand_driven, static_shares, platform_per_request, reclaim_by_time>;

    struct waiting {
        std::string budget;
        token_count tokens{0};
        reserve_done done;
        std::uint64_t id{0};
    };

    static policy_variant make_policy(const std::string& name);
    void retry_waiting();
    void give_up_waiting(std::uint64_t id);
    void ask_for_transfer(const waiting& item, const failure& why);
    transfer_answer credit(const transfer& offer);
    void repeat_transfer(const transfer& item);
    void settle_with_closed(const transfer& item);
    [[nodiscard]] refill_batch plan();
    void step();
    void read_done(const refill_batch& batch, const result<std::vector<table_row>>& rows);
    [[nodiscard]] failure refusal(const std::string& budget, result_code code) const;
    [[nodiscard]] segment_writer& writer() { return writer_; }

    world& all_;
    sim_router& owner_;
    grant_book book_;
    grant_planner planner_;
    transfer_book transfers_;
    segment_writer writer_;
    policy_variant policy_;
    bool transfers_on_;
    std::map<std::string, server_sequence> sequences_;
    std::map<std::pair<std::string, std::int64_t>, open_request> open_;
    std::list<waiting> waiting_;
    std::uint64_t last_waiting_{0};
    bool refilling_{false};
    bool again_{false};
    bool closing_{false};
    bool writing_{false};
};

} // namespace jujubevalve::experiment
