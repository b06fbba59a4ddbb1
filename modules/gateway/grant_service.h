#pragma once

#include "dispatch/account_budgets.h"
#include "dispatch/call_pacer.h"
#include "dispatch/spend_row.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>

namespace jujubevalve
{

/// Carries out what account_budgets plans, and lets requests wait for a refill that is under way.
class grant_service
{
public:
    /// Called with the reservation, or with the reason for its refusal.
    using reserve_callback = std::function<void(const reserve_outcome&)>;

    /// `address` is the one that callers use; only one process at a time can serve it.
    grant_service(event_loop& loop, store_client& store, decision_log& log,
                  gateway_metrics& metrics, std::string instance, std::string incarnation,
                  std::string address, account_budget_options options, double fleet_writes_per_s);

    /// Closes the grants of earlier incarnations of this instance.
    void recover();

    void set_limits(const std::map<std::string, token_count>& limits);
    [[nodiscard]] bool is_limited(std::string_view account) const
    {
        return budgets_.is_limited(account);
    }

    /// Sets tokens aside, at once or within `max_wait`. Returns a number for cancel(), or 0 if
    /// the answer has been given.
    std::uint64_t reserve(const std::string& account, token_count tokens, time_ms max_wait,
                          reserve_callback callback);

    /// The waiting request is gone; it gets no answer.
    void cancel(std::uint64_t waiter);

    void settle(reservation_id id, token_count used);
    void release(reservation_id id);

    [[nodiscard]] account_demand largest_demand(std::size_t max_accounts) const
    {
        return budgets_.largest_demand(max_accounts, loop_.now());
    }
    [[nodiscard]] std::vector<std::string> short_accounts(std::size_t max_accounts) const
    {
        return budgets_.short_accounts(max_accounts, loop_.now());
    }
    void note_shortage_elsewhere(const std::string& account)
    {
        budgets_.note_shortage_elsewhere(account, loop_.now());
    }
    void set_demand_elsewhere(account_demand demand)
    {
        budgets_.set_demand_elsewhere(std::move(demand));
    }

    /// Whether the store answers at present.
    void set_store_reachable(bool reachable)
    {
        store_reachable_ = reachable;
        budgets_.set_store_reachable(reachable);
    }

    /// Fleet size, for the division of what is left.
    void set_instances(std::int64_t instances);

    /// Plans and sends what is due. Call it often; it is also run after each reservation.
    void run();

    /// Logs what a refusal for lack of tokens was decided by.
    void log_refusal(std::string_view request, const std::string& account, token_count tokens);

    /// Returns what is not spent, as requests end.
    void begin_close();
    [[nodiscard]] bool is_closed() const { return budgets_.all_closed(); }

    /// Key of the own spend row, to be removed once all grants are closed.
    [[nodiscard]] std::string own_spend_key() const { return spend_key(instance_, incarnation_); }

private:
    struct waiter {
        std::uint64_t id{0};
        std::string account;
        token_count tokens{0};
        time_ms deadline{};
        reserve_callback callback;
    };

    void publish_ceilings();
    /// `age`: as in plan_reclaim().
    void reclaim(const spend_row& predecessor, time_ms age, int attempt,
                 const std::vector<table_row>& rows);
    void send(const grant_write& write);
    void read_ledger(const std::string& account);
    void serve_waiters(bool last_try_for_all);
    void schedule_run(time_ms delay);

    event_loop& loop_;
    store_client& store_;
    decision_log& log_;
    gateway_metrics& metrics_;
    std::string instance_;
    std::string incarnation_;
    std::string address_;
    account_budgets budgets_;
    call_pacer pacer_;
    std::minstd_rand random_;
    std::list<waiter> waiters_;
    std::uint64_t last_waiter_id_{0};
    std::map<std::string, time_ms>
        last_wait_timeouts_; ///< by account: when one last ended without tokens
    std::int64_t instances_{1};
    int in_flight_{0};
    bool ceilings_unacknowledged_{false};
    std::int64_t spend_row_version_{0}; ///< of the own row; 0 before the first write
    bool store_reachable_{false};
    timer_id timer_{0};
};

} // namespace jujubevalve
