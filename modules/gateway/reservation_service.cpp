#include "gateway/reservation_service.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace jujubevalve
{

namespace
{
/// A home gets this fraction (1/n) of the time that a request may wait, so that another one can be
/// asked afterwards.
constexpr std::int64_t attempts_per_wait = 3;
constexpr time_ms min_attempt_time{40};
constexpr time_ms max_attempt_time{150};
/// Time for a message to a home and its answer, beyond the time that the home may wait.
constexpr time_ms message_time{25};
/// Reservation ids with this bit belong to homes; the others to this instance's own grants.
constexpr reservation_id home_bit = reservation_id{1} << 63U;
/// Max sessions of other instances.
constexpr std::size_t max_sessions = 1024;
/// Ends of reservations are kept this long for a home that cannot be reached.
constexpr time_ms max_report_time{30'000};
/// Longer than any request runs. A borrower that has not ended a reservation by then never will.
constexpr time_ms max_reservation_age{300'000};
/// Time without a heartbeat after which an incarnation counts as terminated.
constexpr time_ms termination_delay{10'000};
} // namespace

/// Connection to a home, with the ends of reservations that it has not acknowledged.
class reservation_service::home_link
{
public:
    home_link(reservation_service& owner, std::string address)
        : owner_{owner}
        , address_{std::move(address)}
    {
        connect();
    }

    void send(const peer_message& message)
    {
        if (!link_ || !link_->is_open()) {
            connect();
        }
        if (link_) { // sending the reports may have ended it
            link_->send(message);
        }
    }

    void report_end(const end_reservation& end)
    {
        unacknowledged_.emplace(end.number, report{end, owner_.loop_.now()});
        send(end);
    }

    /// Drops a connection that is not established, so that the next message opens a new one.
    void drop_if_unconnected()
    {
        if (link_ && !link_->is_connected()) {
            retire();
        }
    }

    /// Repeats unacknowledged reports on a new connection; drops those that are too old.
    void repeat_reports()
    {
        const auto oldest = owner_.loop_.now() - max_report_time;
        std::erase_if(unacknowledged_,
                      [oldest](const auto& entry) { return entry.second.since < oldest; });
        if (!unacknowledged_.empty() && (!link_ || !link_->is_open())) {
            connect();
        }
    }

private:
    struct report {
        end_reservation end;
        time_ms since{};
    };

    void connect()
    {
        retire();
        link_ = std::make_unique<peer_link>(
            owner_.loop_, address_,
            peer_link::handlers{[this](const peer_message& message) { on_message(message); },
                                [this] { on_ended(); }});
        link_->send(peer_hello{owner_.incarnation_});
        for (const auto& [number, unacknowledged] : unacknowledged_) {
            if (!link_) {
                return; // too many for its send buffer
            }
            link_->send(unacknowledged.end);
        }
    }

    // Deferred, since the connection may be on the stack.
    void retire()
    {
        if (link_) {
            link_->close();
            owner_.loop_.defer([old = std::shared_ptr<peer_link>{std::move(link_)}] {});
        }
    }

    void on_message(const peer_message& message)
    {
        if (const auto* const answer = std::get_if<tokens_reserved>(&message)) {
            owner_.home_answered(*answer, address_);
        } else if (const auto* const ended = std::get_if<reservation_ended>(&message)) {
            unacknowledged_.erase(ended->number);
        }
    }

    void on_ended()
    {
        retire();
        owner_.link_ended(address_);
    }

    reservation_service& owner_;
    std::string address_;
    std::unique_ptr<peer_link> link_;
    std::map<std::uint64_t, report> unacknowledged_;
};

/// Connection from another instance that reserves tokens here.
class reservation_service::borrower_session
{
public:
    borrower_session(reservation_service& owner, std::uint64_t id, int descriptor)
        : owner_{owner}
        , id_{id}
        , link_{owner.loop_,
                descriptor,
                {[this](const peer_message& message) { on_message(message); },
                 [this] { on_ended(); }}}
    {
    }

private:
    void on_message(const peer_message& message)
    {
        if (const auto* const hello = std::get_if<peer_hello>(&message)) {
            borrower_ = hello->incarnation;
        } else if (const auto* const request = std::get_if<reserve_tokens>(&message)) {
            reserve(*request);
        } else if (const auto* const end = std::get_if<end_reservation>(&message)) {
            if (const auto reservation = owner_.lent_.take(borrower_, end->number)) {
                if (end->used) {
                    owner_.grants_.settle(*reservation, *end->used);
                } else {
                    owner_.grants_.release(*reservation);
                }
            }
            link_.send(reservation_ended{end->number});
        } else if (owner_.on_other_message) {
            for (const auto& reply : owner_.on_other_message(message)) {
                link_.send(reply);
            }
        }
    }

    void reserve(const reserve_tokens& request)
    {
        if (!owner_.grants_.is_limited(request.account)) {
            // This instance does not have the borrower's configuration yet.
            link_.send(tokens_reserved{request.number, result_code::budget_unavailable});
            return;
        }
        owner_.metrics_.count("reservations_for_others");
        owner_.grants_.reserve(
            request.account, request.tokens, request.max_wait,
            [&owner = owner_, session = id_, number = request.number, account = request.account,
             tokens = request.tokens](const auto& outcome) {
                const auto found = owner.sessions_.find(session);
                if (found == owner.sessions_.end()) {
                    if (outcome) {
                        owner.grants_.release(outcome.id); // nobody was told of it
                    }
                    return;
                }
                if (outcome) {
                    owner.lent_.add(found->second->borrower_, number, outcome.id,
                                    owner.loop_.now());
                } else {
                    owner.grants_.log_refusal(
                        found->second->borrower_ + "/" + std::to_string(number), account, tokens);
                }
                const auto answer = owner.grants_.with_expected_room(account, tokens, outcome);
                found->second->link_.send(
                    tokens_reserved{number, answer.code, answer.room_expected_in});
            });
    }

    void on_ended()
    {
        owner_.loop_.defer([&owner = owner_, id = id_] { owner.sessions_.erase(id); });
    }

    reservation_service& owner_;
    std::uint64_t id_;
    std::string borrower_;
    peer_link link_;
};

reservation_service::reservation_service(event_loop& loop, decision_log& log,
                                         gateway_metrics& metrics, grant_service& grants,
                                         std::string instance, std::string incarnation)
    : loop_{loop}
    , log_{log}
    , metrics_{metrics}
    , grants_{grants}
    , incarnation_{std::move(incarnation)}
    , homes_{std::move(instance)}
    , listener_{loop, [this](int descriptor) { accept(descriptor); }}
{
}

reservation_service::~reservation_service() = default;

status reservation_service::open(const std::string& address)
{
    return listener_.open(address);
}

void reservation_service::accept(int descriptor)
{
    if (sessions_.size() >= max_sessions) {
        ::close(descriptor);
        return;
    }
    const auto id = ++last_session_;
    sessions_.emplace(id, std::make_unique<borrower_session>(*this, id, descriptor));
}

void reservation_service::set_candidates(std::vector<home_candidate> candidates,
                                         grant_role role_without_homes)
{
    const bool changed =
        homes_.set_candidates(std::move(candidates)) || role_without_homes != role_without_homes_;
    role_without_homes_ = role_without_homes;
    if (changed) {
        update_roles();
    }
    for (auto& [address, link] : links_) {
        link->repeat_reports();
    }
}

void reservation_service::update_local_accounts(const account_demand& elsewhere)
{
    auto accounts = own_demand_.local_accounts(elsewhere, loop_.now());
    if (accounts != local_accounts_) {
        local_accounts_ = std::move(accounts);
        log_fields fields;
        for (const auto& account : local_accounts_) {
            const auto published = elsewhere.find(account);
            fields.add(account, published == elsewhere.end() ? 0 : published->second);
        }
        log_.write("local_accounts", fields, loop_.now());
        update_roles();
    }
}

void reservation_service::update_roles()
{
    grants_.set_roles([this](std::string_view account) {
        if (homes_.empty()) {
            return role_without_homes_;
        }
        const auto rank = homes_.own_rank(account);
        if (rank == 0U) {
            return grant_role::home;
        }
        if (local_accounts_.contains(account)) {
            return grant_role::local;
        }
        return rank ? grant_role::standby : grant_role::none;
    });
}

void reservation_service::end_for_terminated(
    const std::function<bool(const std::string& incarnation)>& is_live)
{
    const auto now = loop_.now();
    for (const auto reservation : lent_.take_older_than(now - max_reservation_age)) {
        grants_.settle_in_full(reservation);
    }
    const auto borrowers = lent_.borrowers();
    std::erase_if(not_live_since_, [&](const auto& entry) {
        return is_live(entry.first) ||
               std::find(borrowers.begin(), borrowers.end(), entry.first) == borrowers.end();
    });
    for (const auto& borrower : borrowers) {
        if (is_live(borrower) ||
            now - not_live_since_.try_emplace(borrower, now).first->second < termination_delay) {
            continue;
        }
        const auto open = lent_.take_all(borrower);
        for (const auto reservation : open) {
            grants_.settle_in_full(reservation);
        }
        log_.write("borrower_terminated",
                   log_fields{}.add("incarnation", borrower).add("reservations", open.size()), now);
    }
}

std::uint64_t reservation_service::reserve(const std::string& account, token_count tokens,
                                           time_ms max_wait, reserve_callback callback)
{
    const auto now = loop_.now();
    own_demand_.add(account, tokens, now);
    const auto id = ++last_waiter_;
    auto& waiting = waiters_[id];
    waiting.account = account;
    waiting.tokens = tokens;
    waiting.deadline = now + max_wait;
    waiting.callback = std::move(callback);
    // While the store is away, a local stock that is used up cannot be refilled, but the home may
    // have tokens left.
    const bool is_held_here = local_accounts_.contains(account) && grants_.is_store_reachable();
    if (homes_.empty() || homes_.own_rank(account) == 0U || is_held_here ||
        grants_.covers(account, tokens)) {
        ask_own_grant(id);
    } else {
        waiting.homes = homes_.homes(account, now);
        std::reverse(waiting.homes.begin(), waiting.homes.end());
        ask_next_home(id);
    }
    return waiters_.contains(id) ? id : 0;
}

void reservation_service::ask_next_home(std::uint64_t id)
{
    auto& waiting = waiters_.at(id);
    const auto left = waiting.deadline - loop_.now();
    if (waiting.homes.empty() || left <= message_time || homes_.is_own(waiting.homes.back())) {
        ask_own_grant(id);
        return;
    }
    waiting.current = std::move(waiting.homes.back());
    waiting.homes.pop_back();
    waiting.number = ++last_number_;
    waiters_by_number_[waiting.number] = id;
    const auto attempt_time =
        std::min(std::clamp(left / attempts_per_wait, min_attempt_time, max_attempt_time),
                 left - message_time);
    waiting.timer = loop_.schedule(attempt_time + message_time, [this, id] {
        waiters_.at(id).timer = 0;
        const auto& home = waiters_.at(id).current;
        if (is_link_congested && is_link_congested()) {
            metrics_.count("home_answers_lost_to_congestion");
            home_failed(id);
            return;
        }
        homes_.note_failure(home.instance, loop_.now());
        metrics_.count("homes_silent");
        log_.write("home_silent",
                   log_fields{}.add("home", home.instance).add("account", waiters_.at(id).account),
                   loop_.now());
        link_to(home.address).drop_if_unconnected();
        home_failed(id);
    });
    metrics_.count("reservations_at_homes");
    link_to(waiting.current.address)
        .send(reserve_tokens{waiting.number, waiting.account, waiting.tokens, attempt_time});
}

// The home may have reserved the tokens, or do so later, without this instance learning of it.
void reservation_service::home_failed(std::uint64_t id)
{
    auto& waiting = waiters_.at(id);
    loop_.cancel(std::exchange(waiting.timer, 0));
    const auto number = std::exchange(waiting.number, 0);
    waiters_by_number_.erase(number);
    link_to(waiting.current.address).report_end({number, std::nullopt});
    ask_next_home(id);
}

void reservation_service::ask_own_grant(std::uint64_t id)
{
    auto& waiting = waiters_.at(id);
    const auto left = std::max(waiting.deadline - loop_.now(), time_ms{0});
    const auto grant_wait =
        grants_.reserve(waiting.account, waiting.tokens, left,
                        [this, id](const reserve_outcome& outcome) { finish(id, outcome); });
    if (const auto found = waiters_.find(id); found != waiters_.end()) {
        found->second.grant_wait = grant_wait;
    }
}

void reservation_service::finish(std::uint64_t id, const reserve_outcome& outcome)
{
    const auto found = waiters_.find(id);
    loop_.cancel(found->second.timer);
    waiters_by_number_.erase(found->second.number);
    const auto waiting = std::move(found->second);
    waiters_.erase(found);
    auto answer = grants_.with_expected_room(waiting.account, waiting.tokens, outcome);
    if (!answer && waiting.room_expected_at) {
        const auto at_home = std::max(*waiting.room_expected_at - loop_.now(), time_ms{0});
        answer.room_expected_in = std::min(answer.room_expected_in.value_or(at_home), at_home);
    }
    waiting.callback(answer);
}

void reservation_service::home_answered(const tokens_reserved& answer, const std::string& address)
{
    const auto waiting = waiters_by_number_.find(answer.number);
    if (waiting == waiters_by_number_.end()) {
        // Given up meanwhile. The home may have reserved the tokens only after it was told so.
        if (answer.code == result_code::ok && !borrowed_.contains(answer.number)) {
            link_to(address).report_end({answer.number, std::nullopt});
        }
        return;
    }
    const auto id = waiting->second;
    auto& entry = waiters_.at(id);
    homes_.note_response(entry.current.instance);
    if (answer.code == result_code::ok) {
        borrowed_[answer.number] = {address, entry.account, entry.tokens, loop_.now()};
        grants_.add_demand(entry.account, entry.tokens);
        finish(id, {home_bit | answer.number, result_code::ok, false});
        return;
    }
    loop_.cancel(std::exchange(entry.timer, 0));
    waiters_by_number_.erase(std::exchange(entry.number, 0));
    if (answer.room_expected_in) {
        entry.room_expected_at = loop_.now() + *answer.room_expected_in;
    }
    ask_next_home(id);
}

void reservation_service::link_ended(const std::string& address)
{
    std::vector<std::uint64_t> failed;
    for (const auto& [number, id] : waiters_by_number_) {
        if (waiters_.at(id).current.address == address) {
            failed.push_back(id);
        }
    }
    for (const auto id : failed) {
        homes_.note_failure(waiters_.at(id).current.instance, loop_.now());
        home_failed(id);
    }
}

reservation_service::home_link& reservation_service::link_to(const std::string& address)
{
    auto& link = links_[address];
    if (!link) {
        link = std::make_unique<home_link>(*this, address);
    }
    return *link;
}

void reservation_service::cancel(std::uint64_t waiter)
{
    const auto found = waiters_.find(waiter);
    if (found == waiters_.end()) {
        return;
    }
    auto entry = std::move(found->second);
    waiters_.erase(found);
    loop_.cancel(entry.timer);
    if (entry.grant_wait != 0) {
        grants_.cancel(entry.grant_wait);
    }
    if (entry.number != 0) {
        waiters_by_number_.erase(entry.number);
        link_to(entry.current.address).report_end({entry.number, std::nullopt});
    }
}

void reservation_service::settle(reservation_id id, token_count used)
{
    if ((id & home_bit) != 0) {
        end_at_home(id, used);
    } else {
        grants_.settle(id, used);
    }
}

void reservation_service::release(reservation_id id)
{
    if ((id & home_bit) != 0) {
        end_at_home(id, std::nullopt);
    } else {
        grants_.release(id);
    }
}

void reservation_service::end_at_home(reservation_id id, std::optional<token_count> used)
{
    const auto number = id & ~home_bit;
    const auto found = borrowed_.find(number);
    if (found == borrowed_.end()) {
        return;
    }
    const auto& reservation = found->second;
    grants_.correct_demand(reservation.account, used.value_or(0) - reservation.tokens,
                           reservation.made_at);
    link_to(reservation.home).report_end({number, used});
    borrowed_.erase(found);
}

} // namespace jujubevalve
