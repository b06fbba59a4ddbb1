#pragma once

#include "dispatch/account_budgets.h"
#include "dispatch/call_pacer.h"
#include "dispatch/ledger_recovery.h"
#include "dispatch/spend_row.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/ledger_store.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>

namespace jujubevalve
{

/// Executes the store reads and writes that account_budgets plans, and queues requests that wait
/// for a refill of their account's grant.
class grant_service
{
public:
    /// Receives the reservation, or the reason for its refusal.
    using reserve_callback = std::function<void(const reserve_outcome&)>;

    /// `address` is where callers connect. Only one process at a time can listen there, so a
    /// predecessor at the same address has terminated.
    grant_service(event_loop& loop, store_client& store, decision_log& log,
                  gateway_metrics& metrics, std::string instance, std::string incarnation,
                  std::string address, account_budget_options options, double fleet_writes_per_s);

    /// Called when tokens were granted to this instance, before any request gets them.
    std::function<void(const announced_grant&)> on_granted;

    /// Continues with the budget rows of another era of the store. Nothing is granted in it before
    /// open_ledgers().
    void begin_store_era(row_era era);
    /// Begins to draw grants, and reclaims those of earlier incarnations of this instance.
    void open_ledgers();

    /// Returns the grants that have to be registered in the current era.
    [[nodiscard]] std::vector<grant_registration> unregistered_grants() const
    {
        return budgets_.unregistered_grants();
    }
    void registered(const grant_registration& held, token_count granted,
                    const std::vector<table_row>& rows);

    void set_limits(const std::map<std::string, token_count>& limits);
    [[nodiscard]] bool is_limited(std::string_view account) const
    {
        return budgets_.is_limited(account);
    }

    /// Reserves tokens, at once or within `max_wait`. Returns an id for cancel(), or 0 if the
    /// callback has already been called.
    std::uint64_t reserve(const std::string& account, token_count tokens, time_ms max_wait,
                          reserve_callback callback);

    /// Returns a refusal with the time after which the request is expected to get its tokens.
    [[nodiscard]] reserve_outcome with_expected_room(const std::string& account, token_count tokens,
                                                     reserve_outcome refusal);

    /// Cancels a waiting request; its callback is not called.
    void cancel(std::uint64_t waiter);

    /// See account_budgets.
    void add_demand(std::string_view account, token_count tokens)
    {
        budgets_.add_demand(account, tokens, loop_.now());
    }
    void correct_demand(std::string_view account, token_count change, time_ms then)
    {
        budgets_.correct_demand(account, change, then);
    }

    void settle(reservation_id id, token_count used);
    void settle_in_full(reservation_id id);
    void release(reservation_id id);

    [[nodiscard]] account_demand largest_demand(std::size_t max_accounts) const
    {
        return budgets_.largest_demand(max_accounts, loop_.now());
    }
    [[nodiscard]] std::vector<std::string> short_accounts(std::size_t max_accounts) const
    {
        return budgets_.short_accounts(max_accounts, loop_.now());
    }
    void record_peer_shortage(const std::string& account)
    {
        budgets_.record_peer_shortage(account, loop_.now());
    }
    void set_demand_elsewhere(account_demand demand)
    {
        budgets_.set_demand_elsewhere(std::move(demand));
    }

    /// Sets whether the store currently responds.
    void set_store_reachable(bool reachable)
    {
        store_reachable_ = reachable;
        budgets_.set_store_reachable(reachable);
    }

    /// Sets the instances among which remaining tokens and the rate of store writes are divided.
    void set_fleet(const instance_counts& fleet);

    /// Sets this instance's role for each account; `none` for all before the first call.
    void set_roles(std::function<grant_role(std::string_view account)> roles);

    /// Sets whether tokens are stocked without demand; initially not.
    void set_stocks_ahead(bool stocks_ahead)
    {
        budgets_.set_stocks_ahead(stocks_ahead, loop_.now());
    }

    [[nodiscard]] bool is_store_reachable() const { return store_reachable_; }

    /// Returns whether the own grant covers a request now.
    [[nodiscard]] bool covers(std::string_view account, token_count tokens) const
    {
        return budgets_.covers(account, tokens, loop_.now());
    }

    /// Performs all store operations that are due and serves waiting requests. Call it
    /// periodically; it also runs after each reservation.
    void run();

    /// Logs the budget state behind a refusal for lack of tokens.
    void log_refusal(std::string_view request, const std::string& account, token_count tokens);

    /// Starts returning unspent tokens to the ledgers as requests end.
    void begin_close();
    [[nodiscard]] bool is_closed() const { return budgets_.all_closed(); }

    /// Returns the key of this incarnation's spend row.
    [[nodiscard]] std::string own_spend_key() const { return spend_key(instance_, incarnation_); }

private:
    struct waiter {
        std::uint64_t id{0};
        std::string account;
        token_count tokens{0};
        time_ms deadline{};
        reserve_callback callback;
    };

    /// Reclaims the grants of earlier incarnations of this instance.
    void recover();
    void publish_ceilings();
    /// `age`: as in plan_reclaim(). `rows`: rows of the read set from earlier attempts.
    void reclaim(const spend_row& predecessor, time_ms age, int attempt,
                 const std::vector<table_row>& rows);
    void send(const grant_write& write);
    void announce(const std::vector<planned_change>& changes,
                  const std::vector<std::int64_t>& versions);
    void read_ledger(const std::string& account);
    void serve_waiters(bool last_try_for_all);
    void schedule_run(time_ms delay);

    event_loop& loop_;
    store_client& store_;
    ledger_store rows_;
    decision_log& log_;
    gateway_metrics& metrics_;
    std::string instance_;
    std::string incarnation_;
    std::string address_;
    account_budgets budgets_;
    call_pacer pacer_;         ///< of grant writes
    call_pacer ceiling_pacer_; ///< backs off from ceiling writes that are refused
    std::minstd_rand random_;
    std::list<waiter> waiters_;
    std::uint64_t last_waiter_id_{0};
    std::map<std::string, time_ms> last_wait_timeouts_; ///< by account: when a wait last timed out
    std::int64_t instances_{1};                         ///< that share the budgets
    int in_flight_{0};
    bool ceilings_unacknowledged_{false};
    std::int64_t spend_row_version_{0}; ///< of this incarnation's row; 0 before the first write
    bool store_reachable_{false};
    bool era_known_{false};
    bool ledgers_open_{false};
    timer_id timer_{0};
};

} // namespace jujubevalve
