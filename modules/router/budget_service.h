#pragma once

#include "budget/budget.h"
#include "config/config.h"
#include "requests/server_sequence.h"
#include "storage/http_platform.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace jujubevalve
{

/// A request's claim on a budget, from its reservation to its settlement.
struct spend_ticket {
    reservation_id reservation{0};
    std::string budget;
    token_count reserved{0};
    std::string server;     ///< backend server that the request was handed to, empty before
    std::int64_t number{0}; ///< its number there
};

/// How a run ended, for its settlement.
struct spend_report {
    std::optional<token_count> used; ///< empty: unknown, the whole reservation is charged
    std::optional<bill_entry> bill;  ///< set the first time that the request has an outcome
    bool number_settled{true};       ///< the server has shown that it knows the request's number
};

/// The grants, numbers and segments of this incarnation together with the platform that keeps them.
/// Safe to use from any thread. Nothing here is undone by a lost answer of the platform.
class budget_service
{
public:
    /// `policy` is demand-driven, static-shares or platform-per-request. `wake_refill` is called
    /// when a request waits for a refill.
    budget_service(std::string incarnation, std::int64_t term, const std::string& policy,
                   time_ms horizon, http_platform& platform, counters& counts);

    /// Sets the function that makes the refill start now.
    void on_shortage(std::function<void()> wake_refill) { wake_refill_ = std::move(wake_refill); }

    /// Takes over the pools of a configuration.
    void set_config(const config_snapshot& config);

    /// Reserves tokens; waits up to `wait` for a refill that may bring them.
    result<spend_ticket> reserve(const std::string& budget, token_count tokens, time_ms wait);

    /// Numbers the request at a backend server and returns its key there. Fails with `overloaded`
    /// while too many requests to that server are unsettled.
    result<std::string> assign(spend_ticket& ticket, const std::string& server);

    /// The request certainly did not reach the server. `number_known`: the server has marked the
    /// number, so it is not used again.
    void unassign(spend_ticket& ticket, bool number_known = false);

    /// Ends the claim after a run.
    void settle(const spend_ticket& ticket, const spend_report& report);

    /// Ends the claim of a request that did not run.
    void release(const spend_ticket& ticket);

    /// The server has shown that it knows the number of a settled request.
    void settle_number(const std::string& server, std::int64_t number);

    /// Adds a bill entry for a run whose spend another incarnation accounts for.
    void add_bill(bill_entry entry);

    /// Refills and returns grants until nothing is due.
    void refill(std::int64_t live_instances);

    /// Writes the next segment if something changed. False if the platform did not take it.
    bool write_segment();

    /// No more reservations; closes grants that are not in use. True once all are closed.
    bool close();

    /// Number of the newest segment.
    [[nodiscard]] std::int64_t last_segment() const;

    [[nodiscard]] token_count available(const std::string& budget) const;
    [[nodiscard]] std::vector<budget_spend> richest(std::size_t count) const;
    [[nodiscard]] bool is_stopped() const;
    [[nodiscard]] bool is_fenced() const;
    [[nodiscard]] bool platform_reachable() const;

    /// Others have closed this incarnation.
    void stop();

    /// Copies the book's counts into the counters.
    void export_counts();

    /// Calls a function with the book, for transfers; the lock is held meanwhile.
    template <class Function>
    decltype(auto) with_book(const Function& function)
    {
        const std::lock_guard lock{mutex_};
        return function(book_);
    }

    /// Tells waiting reservations that the book has changed.
    void notify() { changed_.notify_all(); }

private:
    using policy_variant = std::variant<demand_driven, static_shares, platform_per_request>;

    [[nodiscard]] static policy_variant make_policy(const std::string& name, time_ms horizon);
    bool run_batch(const refill_batch& batch, std::int64_t live_instances);
    result<planned_refill> plan(const refill_batch& batch, std::int64_t live_instances,
                                const std::vector<table_row>& rows);
    [[nodiscard]] std::vector<sequence_mark> sequence_marks() const;
    [[nodiscard]] std::vector<open_request> open_requests() const;
    [[nodiscard]] failure refusal(const std::string& budget, result_code code) const;

    struct running_request {
        std::string budget;
        token_count reserved{0};
    };

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    grant_book book_;
    grant_planner planner_;
    segment_writer writer_;
    std::map<std::string, server_sequence, std::less<>> sequences_;
    std::map<std::pair<std::string, std::int64_t>, running_request> running_requests_;
    policy_variant policy_;
    http_platform& platform_;
    counters& counts_;
    std::function<void()> wake_refill_;
    steady_clock_ms clock_;
    std::mutex refill_mutex_;
    std::mutex segment_mutex_;
};

} // namespace jujubevalve
