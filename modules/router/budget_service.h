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

/// A request's reservation of tokens from a budget, held until it is settled or released.
struct spend_ticket {
    reservation_id reservation{0};
    std::string budget;
    token_count reserved{0};
    std::string server;     ///< backend server the request is assigned to; empty if none
    std::int64_t number{0}; ///< sequence number of the request at that server
};

/// Result of a run, as needed to settle its reservation.
struct spend_report {
    std::optional<token_count> used; ///< empty: unknown, the full reservation is charged
    std::optional<bill_entry> bill;  ///< set for the first outcome of the request only
    bool number_settled{true};       ///< the server has confirmed the request's number
};

/// Manages this incarnation's grants, per-server request numbers and settlement segments, and
/// stores them on the platform. Thread-safe. State stays consistent if the platform's response to
/// a write is lost.
class budget_service
{
public:
    /// `policy` is demand-driven, static-shares or platform-per-request; `horizon` is the period
    /// whose expected demand a demand-driven grant covers.
    budget_service(std::string incarnation, std::int64_t term, const std::string& policy,
                   time_ms horizon, http_platform& platform, counters& counts);

    /// Sets the function that is called when a request waits for a refill; it should trigger one.
    void on_shortage(std::function<void()> wake_refill) { wake_refill_ = std::move(wake_refill); }

    /// Applies the pools of a configuration.
    void set_config(const config_snapshot& config);

    /// Reserves tokens. Waits up to `wait` if a refill may provide them.
    result<spend_ticket> reserve(const std::string& budget, token_count tokens, time_ms wait);

    /// Assigns the request the next sequence number at a backend server and returns its request
    /// key there. Fails with `overloaded` while too many requests to that server are unsettled.
    result<std::string> assign(spend_ticket& ticket, const std::string& server);

    /// Cancels the assignment of a request that certainly did not run. The number is reused unless
    /// `number_known` is set, which means that the server has already recorded it.
    void unassign(spend_ticket& ticket, bool number_known = false);

    /// Settles the reservation after a run.
    void settle(const spend_ticket& ticket, const spend_report& report);

    /// Releases the reservation of a request that did not run.
    void release(const spend_ticket& ticket);

    /// Records that the server has confirmed the number of a settled request.
    void settle_number(const std::string& server, std::int64_t number);

    /// Adds a bill entry for a run whose spend is settled by another incarnation.
    void add_bill(bill_entry entry);

    /// Refills and returns grants until none needs a change. Changes each budget at most once per
    /// call.
    void refill(std::int64_t live_instances);

    /// Writes the next settlement segment if anything changed. Returns false if the platform did
    /// not accept it.
    bool write_segment();

    /// Stops accepting reservations and closes grants that are not in use. Returns true once all
    /// are closed.
    bool close();

    /// Returns the sequence number of the newest segment.
    [[nodiscard]] std::int64_t last_segment() const;

    [[nodiscard]] token_count available(const std::string& budget) const;
    [[nodiscard]] std::vector<budget_spend> largest_available(std::size_t count) const;
    [[nodiscard]] bool is_stopped() const;
    [[nodiscard]] bool is_fenced() const;
    [[nodiscard]] bool platform_reachable() const;

    /// Stops all spending, because another instance has closed this incarnation.
    void stop();

    /// Copies the grant statistics into the counters.
    void export_counts();

    /// Calls `function` with the grants of this incarnation while holding the lock; for transfers.
    template <class Function>
    decltype(auto) with_grants(const Function& function)
    {
        const std::lock_guard lock{mutex_};
        return function(book_);
    }

    /// Wakes waiting reservations after a change of the grants.
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
    grant_tracker book_;
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
