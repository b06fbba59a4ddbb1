#pragma once

#include "dispatch/account_homes.h"
#include "dispatch/lent_reservations.h"
#include "dispatch/own_demand.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/grant_service.h"
#include "gateway/peer_link.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Reserves tokens of prepaid budgets for requests: from this instance's own grant, or at the home
/// of the account. Also makes reservations for the requests of other instances whose home this
/// instance is. A reservation at a home counts there as spend in flight until its end is reported;
/// if it never is, because this process or the connection fails, the home charges it in full.
class reservation_service
{
public:
    using reserve_callback = grant_service::reserve_callback;

    reservation_service(event_loop& loop, decision_log& log, gateway_metrics& metrics,
                        grant_service& grants, std::string instance, std::string incarnation);
    ~reservation_service();
    reservation_service(const reservation_service&) = delete;
    reservation_service& operator=(const reservation_service&) = delete;

    /// Accepts the reservations of other instances. Fails with `invalid_setting`.
    [[nodiscard]] status open(const std::string& address);

    /// Answers messages of other instances that are not about reservations.
    std::function<std::vector<peer_message>(const peer_message&)> on_other_message;

    /// Returns whether this instance's own link explains that a home does not answer.
    std::function<bool()> is_link_congested;

    /// Sets the instances that can be homes. Without any, this instance has `role_without_homes`
    /// for all accounts.
    void set_candidates(std::vector<home_candidate> candidates, grant_role role_without_homes);

    /// Updates the accounts that this instance holds for its own callers. `elsewhere`: demand that
    /// the other instances publish.
    void update_local_accounts(const account_demand& elsewhere);

    /// Charges what terminated incarnations have reserved here. `is_live` tells whether an
    /// incarnation may still end its reservations.
    void end_for_terminated(const std::function<bool(const std::string& incarnation)>& is_live);

    [[nodiscard]] bool is_limited(std::string_view account) const
    {
        return grants_.is_limited(account);
    }

    /// Reserves tokens, at once or within `max_wait`. Returns an id for cancel(), or 0 if the
    /// callback has already been called.
    std::uint64_t reserve(const std::string& account, token_count tokens, time_ms max_wait,
                          reserve_callback callback);

    /// Cancels a waiting request; its callback is not called.
    void cancel(std::uint64_t waiter);

    void settle(reservation_id id, token_count used);
    void release(reservation_id id);

    /// Logs the budget state behind a refusal for lack of tokens.
    void log_refusal(std::string_view request, const std::string& account, token_count tokens)
    {
        grants_.log_refusal(request, account, tokens);
    }

private:
    class home_link;
    class borrower_session;

    /// A request that waits for its tokens.
    struct waiter {
        std::string account;
        token_count tokens{0};
        time_ms deadline{};
        reserve_callback callback;
        std::vector<home_candidate> homes; ///< not asked yet, next one last
        home_candidate current;            ///< home that is being asked
        std::uint64_t number{0};           ///< of the message to it; 0: waits for the own grant
        std::uint64_t grant_wait{0};       ///< id in grant_service
        timer_id timer{0};
        std::optional<time_ms> room_expected_at{}; ///< as a home that refused has told
    };

    /// A reservation at a home.
    struct borrowed {
        std::string home; ///< address
        std::string account;
        token_count tokens{0};
        time_ms made_at{};
    };

    void update_roles();
    void ask_next_home(std::uint64_t id);
    void ask_own_grant(std::uint64_t id);
    void home_failed(std::uint64_t id);
    void finish(std::uint64_t id, const reserve_outcome& outcome);
    void home_answered(const tokens_reserved& answer, const std::string& address);
    void link_ended(const std::string& address);
    home_link& link_to(const std::string& address);
    void accept(int descriptor);
    void end_at_home(reservation_id id, std::optional<token_count> used);

    event_loop& loop_;
    decision_log& log_;
    gateway_metrics& metrics_;
    grant_service& grants_;
    std::string incarnation_;
    account_homes homes_;
    grant_role role_without_homes_{grant_role::none};
    own_demand own_demand_;
    std::set<std::string, std::less<>> local_accounts_;
    tcp_listener listener_;

    std::uint64_t last_waiter_{0};
    std::uint64_t last_number_{0};
    std::map<std::uint64_t, waiter> waiters_;
    std::map<std::uint64_t, std::uint64_t> waiters_by_number_;
    std::map<std::uint64_t, borrowed> borrowed_; ///< open reservations at homes, by number
    std::map<std::string, std::unique_ptr<home_link>> links_; ///< by address

    lent_reservations lent_;
    std::map<std::uint64_t, std::unique_ptr<borrower_session>> sessions_;
    std::uint64_t last_session_{0};
    std::map<std::string, time_ms> not_live_since_; ///< borrowers that are missing
};

} // namespace jujubevalve
