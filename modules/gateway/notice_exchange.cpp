#include "gateway/notice_exchange.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Instances that each one passes news on to.
constexpr std::size_t peer_count = 4;
/// News within this time go out in one message.
constexpr time_ms batch_time{10};
constexpr time_ms run_interval{250};
constexpr time_ms compare_interval{1000};
constexpr time_ms max_compare_interval{32'000};
/// Boards that differ first exchange the notices of this time. Only what lasts longer than one
/// comparison is worth sending all.
constexpr time_ms recent_time{60'000};
/// Least time from one exchange of all notices with a peer to the next.
constexpr time_ms all_interval{10'000};
/// After so many comparisons in a row that found boards different, they become less frequent.
constexpr int max_quick_comparisons = 4;
/// Of a board without notices. Whoever names it gets all.
constexpr std::uint64_t empty_digest = 0;
constexpr time_ms reconnect_delay{1000};
/// A peer that has not answered a comparison within this time gets a new connection.
constexpr time_ms answer_timeout{1500};
/// Connections stay open this long without anything to tell or to ask.
constexpr time_ms linger_time{3000};
/// The same after news. More often follow soon.
constexpr time_ms news_linger_time{60'000};
} // namespace

notice_exchange::notice_exchange(event_loop& loop, notice_board& board,
                                 std::function<time_ms()> store_time)
    : loop_{loop}
    , board_{board}
    , store_time_{std::move(store_time)}
{
}

notice_exchange::~notice_exchange() = default;

void notice_exchange::set_peers(const std::string& own_instance, std::vector<notice_peer> peers)
{
    if (own_instance == own_instance_ && peers == known_) {
        return;
    }
    own_instance_ = own_instance;
    known_ = std::move(peers);
    std::vector<std::string> names;
    names.reserve(known_.size());
    for (const auto& peer : known_) {
        names.push_back(peer.instance);
    }
    const auto chosen = choose_notice_peers(own_instance_, names, peer_count);
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        if (std::find(chosen.begin(), chosen.end(), entry->first) != chosen.end()) {
            ++entry;
        } else {
            retire(entry->second);
            entry = peers_.erase(entry);
        }
    }
    for (const auto& peer : known_) {
        if (std::find(chosen.begin(), chosen.end(), peer.instance) == chosen.end()) {
            continue;
        }
        auto& state = peers_[peer.instance];
        if (state.address != peer.address) {
            retire(state);
            state.agreed_digest.reset(); // it has started again
            state.address = peer.address;
        }
    }
    if (is_active()) {
        wake();
    }
}

void notice_exchange::pass_on(const fleet_notice& notice)
{
    news_.push_back(notice);
    connected_until_ = loop_.now() + news_linger_time;
    wake();
    if (!std::exchange(flush_scheduled_, true)) {
        loop_.schedule(batch_time, [this] { flush(); });
    }
}

void notice_exchange::ask()
{
    asked_until_ = loop_.now() + compare_interval;
    wake();
}

bool notice_exchange::can_hear_others() const
{
    return peers_.empty() || std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) {
               return entry.second.is_answering;
           });
}

bool notice_exchange::is_active() const
{
    return loop_.now() < std::max(asked_until_ + linger_time, connected_until_) ||
           std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
               return entry.second.agreed_digest != board_.digest();
           });
}

time_ms notice_exchange::next_compare_interval()
{
    const bool has_changed =
        std::exchange(last_compared_digest_, board_.digest()) != board_.digest();
    compare_interval_ =
        has_changed || loop_.now() < asked_until_
            ? compare_interval
            : std::clamp(compare_interval_ * 2, compare_interval, max_compare_interval);
    return compare_interval_;
}

void notice_exchange::wake()
{
    if (!std::exchange(run_scheduled_, true)) {
        loop_.schedule(time_ms{0}, [this] { run(); });
    }
}

void notice_exchange::run()
{
    run_scheduled_ = false;
    board_.expire(store_time_());
    if (!is_active()) {
        for (auto& [instance, peer] : peers_) {
            retire(peer);
        }
        return;
    }
    const bool compares = loop_.now() >= next_compare_;
    if (compares) {
        next_compare_ = loop_.now() + next_compare_interval();
    }
    for (auto& [instance, peer] : peers_) {
        // A connection may go silent without an end.
        if (peer.compared_at && loop_.now() - *peer.compared_at >= answer_timeout) {
            retire(peer);
        }
        if (!peer.link || !peer.link->is_open()) {
            connect(instance, peer);
        } else if (compares) {
            compare(peer);
        }
    }
    run_scheduled_ = true;
    loop_.schedule(run_interval, [this] { run(); });
}

void notice_exchange::flush()
{
    flush_scheduled_ = false;
    const auto messages = to_messages(std::exchange(news_, {}));
    for (auto& [instance, peer] : peers_) {
        if (peer.link && peer.link->is_open()) {
            for (const auto& message : messages) {
                send(peer, message);
            }
        }
    }
}

// A new connection starts with the notices that the peer may lack; it answers with those that it
// has beyond them.
void notice_exchange::connect(const std::string& instance, peer_state& peer)
{
    if (loop_.now() < peer.next_connect) {
        return;
    }
    retire(peer);
    peer.next_connect = loop_.now() + reconnect_delay;
    peer.link = std::make_unique<peer_link>(
        loop_, peer.address,
        peer_link::handlers{
            [this, instance](const peer_message& message) {
                if (const auto found = peers_.find(instance); found != peers_.end()) {
                    receive_reply(found->second, message);
                }
            },
            [this, instance] {
                if (const auto found = peers_.find(instance); found != peers_.end()) {
                    found->second.agreed_digest.reset(); // it may start again
                    retire(found->second);
                }
            }});
    for (const auto& message : to_messages(peer.agreed_digest ? news_ : board_.all())) {
        send(peer, message);
    }
    compare(peer);
}

void notice_exchange::compare(peer_state& peer)
{
    peer.compared_at = peer.compared_at.value_or(loop_.now());
    peer.compared_digest = board_.digest();
    peer.differences = peer.agreed_digest ? 0 : peer.differences;
    send(peer, compare_notices{peer.compared_digest});
}

void notice_exchange::send(peer_state& peer, const peer_message& message)
{
    if (peer.link && peer.link->is_open()) {
        ++messages_sent_;
        peer.link->send(message);
    }
}

// Deferred, since the connection may be on the stack.
void notice_exchange::retire(peer_state& peer)
{
    peer.is_answering = false;
    peer.compared_at.reset();
    if (peer.link) {
        peer.link->close();
        loop_.defer([old = std::shared_ptr<peer_link>{std::move(peer.link)}] {});
    }
}

// The peer first shows that it is there, which is all if its board is the same. Otherwise it
// compares after it has sent its notices, so that this instance sends those it lacks.
void notice_exchange::receive_reply(peer_state& peer, const peer_message& message)
{
    peer.is_answering = true;
    if (peer.compared_at) {
        peer.compared_at.reset();
        peer.agreed_digest = peer.compared_digest; // unless it compares next
    }
    if (const auto* const shared = std::get_if<share_notices>(&message)) {
        put_all(*shared);
        return;
    }
    const auto* const compared = std::get_if<compare_notices>(&message);
    if (compared == nullptr) {
        return;
    }
    if (compared->digest == board_.digest()) {
        peer.agreed_digest = compared->digest;
        return;
    }
    peer.agreed_digest.reset();
    ++peer.differences;
    if (peer.differences <= max_quick_comparisons) {
        compare_interval_ = compare_interval;
        next_compare_ = std::min(next_compare_, loop_.now() + compare_interval);
    }
    const bool lacks_more =
        compared->digest == empty_digest || (peer.differences > 1 && loop_.now() >= peer.next_all);
    for (const auto& part : to_messages(lacks_more ? board_.all() : recent())) {
        send(peer, part);
    }
    if (lacks_more && loop_.now() >= peer.next_all) {
        peer.next_all = loop_.now() + all_interval;
        send(peer, compare_notices{empty_digest});
    }
}

std::vector<fleet_notice> notice_exchange::recent() const
{
    return board_.all_since(store_time_() - recent_time);
}

void notice_exchange::put_all(const share_notices& shared)
{
    const auto now = store_time_();
    for (const auto& notice : shared.notices) {
        board_.put(notice, now);
    }
}

std::vector<peer_message> notice_exchange::receive(const peer_message& message)
{
    std::vector<peer_message> replies;
    if (const auto* const shared = std::get_if<share_notices>(&message)) {
        put_all(*shared);
    } else if (const auto* const compared = std::get_if<compare_notices>(&message)) {
        replies.emplace_back(share_notices{}); // shows that this instance is there
        if (compared->digest != board_.digest()) {
            for (auto& part :
                 to_messages(compared->digest == empty_digest ? board_.all() : recent())) {
                replies.emplace_back(std::move(part));
            }
            replies.emplace_back(compare_notices{board_.digest()});
        }
    }
    messages_sent_ += static_cast<std::int64_t>(replies.size());
    return replies;
}

} // namespace jujubevalve
