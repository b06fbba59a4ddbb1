#include "membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_unknown = 1000;
constexpr time_ms unknown_lifetime = seconds(60);
constexpr std::size_t max_superseded = 2000;
constexpr std::int64_t news_heartbeats = 60;
constexpr unsigned heal_one_in = 8; // rounds that also ask a suspected peer or a seed

template <class Container>
const auto& any_of(const Container& values, std::mt19937& random)
{
    return values[std::uniform_int_distribution<std::size_t>{0, values.size() - 1}(random)];
}
} // namespace

member_table::member_table(member_entry own, std::vector<std::string> seeds,
                           membership_settings settings, std::uint32_t random_seed)
    : own_{std::move(own)}
    , own_id_{id_of(own_.incarnation)}
    , seeds_{std::move(seeds)}
    , settings_{settings}
    , random_{random_seed}
    , own_detail_sends_left_{rumour_sends()}
    , hints_{settings}
{
    update_timeouts();
}

void member_table::set_draining()
{
    own_.state = member_state::draining;
    ++own_.heartbeat;
}

void member_table::set_config(std::int64_t term, std::int64_t version)
{
    own_.config_term = term;
    own_.config_version = version;
}

void member_table::set_seeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
}

int member_table::rumour_sends() const
{
    // A rumour that each holder sends 2 log2(n) times reaches all but a small part of the fleet;
    // the regular heartbeats and the asking for unknown ids reach the rest.
    return 4 + static_cast<int>(2 * std::log2(static_cast<double>(members_.size() + 1)));
}

void member_table::update_timeouts()
{
    const auto size = static_cast<double>(members_.size() + 1);
    const auto interval = static_cast<double>(settings_.interval.count());
    const double spread = interval * std::log2(size);
    // A digest renews one of size / (max_heartbeats + 1) entries.
    const double digests = size / static_cast<double>(settings_.max_heartbeats + 1);
    // A quarter more than the longest time seen at 27 instances, where the margin was smallest.
    const auto renewal = spread * std::max(1.0, 1.25 * digests);
    suspicion_timeout_ = std::max(settings_.suspect_after,
                                  settings_.interval + time_ms{static_cast<std::int64_t>(renewal)});
    // A doubt has to reach its subject and the answer has to come back; each way takes less than
    // half of log2(size) rounds (docs/membership.md).
    refutation_timeout_ = settings_.suspect_after + time_ms{static_cast<std::int64_t>(spread)};
}

bool member_table::is_suspected(const known_member& member, time_ms now) const
{
    return member.last_progress + suspicion_timeout_ < now ||
           (member.doubted && member.doubted_at + refutation_timeout_ < now);
}

void member_table::note_exchange(std::string_view peer_address, bool succeeded, time_ms now)
{
    for (auto& [id, member] : members_) {
        if (member.entry.peer_address == peer_address) {
            member.failed_exchanges = succeeded ? 0 : member.failed_exchanges + 1;
            if (member.failed_exchanges >= 2 && !member.doubted) {
                doubt(member, now);
            }
        }
    }
}

void member_table::doubt(known_member& member, time_ms now)
{
    member.doubted = true;
    member.doubted_at = now;
    member.doubt_sends_left = rumour_sends();
}

void member_table::merge_doubt(const heartbeat_item& doubt, time_ms now)
{
    if (doubt.id == own_id_) {
        own_.heartbeat = std::max(own_.heartbeat, doubt.heartbeat + 1);
        return;
    }
    const auto found = members_.find(doubt.id);
    if (found == members_.end()) {
        return;
    }
    auto& member = found->second;
    if (member.entry.heartbeat > doubt.heartbeat) {
        // The sender's heartbeat is outdated. If this one's is as old as the instance's death, the
        // next failed exchange doubts it again, with a heartbeat that nobody can exceed.
        member.sends_left = std::max(member.sends_left, 2);
    } else if (!member.doubted) {
        this->doubt(member, now);
    }
}

std::vector<const std::string*> member_table::failed_once(time_ms now) const
{
    std::vector<const std::string*> addresses;
    for (const auto& [id, member] : members_) {
        if (member.failed_exchanges == 1 && !is_suspected(member, now) &&
            addresses.size() < settings_.fan_out) {
            addresses.push_back(&member.entry.peer_address);
        }
    }
    return addresses;
}

std::vector<std::string> member_table::begin_round(time_ms now)
{
    ++own_.heartbeat;
    forget_dead(now);
    std::vector<const std::string*> live;
    std::vector<const std::string*> others;
    for (const auto& [id, member] : members_) {
        (is_suspected(member, now) ? others : live).push_back(&member.entry.peer_address);
    }
    for (const auto& seed : seeds_) {
        const bool listed = std::any_of(live.begin(), live.end(),
                                        [&](const auto* address) { return *address == seed; });
        if (seed != own_.peer_address && !listed) {
            others.push_back(&seed);
        }
    }
    auto chosen = failed_once(now);
    std::sample(live.begin(), live.end(), std::back_inserter(chosen),
                settings_.fan_out - chosen.size(), random_);
    std::vector<std::string> addresses;
    addresses.reserve(chosen.size() + 1);
    for (const auto* address : chosen) {
        addresses.push_back(*address);
    }
    if (!others.empty() && (addresses.empty() || random_() % heal_one_in == 0)) {
        addresses.push_back(*any_of(others, random_));
    }
    return addresses;
}

gossip_digest member_table::make_digest(time_ms now)
{
    ++digests_made_;
    gossip_digest digest;
    digest.own = {own_id_, own_.heartbeat, own_.state};
    digest.config_term = own_.config_term;
    digest.config_version = own_.config_version;
    std::vector<named_member> live;
    std::vector<known_member*> news;
    for (auto& [id, member] : members_) {
        if (!is_suspected(member, now)) {
            live.emplace_back(id, &member);
        }
        if (member.doubted && member.doubt_sends_left > 0) {
            add_doubt(digest, id, member);
        }
        if (member.detail_sends_left > 0) {
            news.push_back(&member);
        }
    }
    digest.known = static_cast<std::int64_t>(live.size()) + 1;
    add_heartbeats(digest, std::move(live));
    add_details(digest, std::move(news));
    add_wanted(digest);
    // Where every digest holds every entry there is room for hints that nobody has asked for.
    const bool small = members_.size() <= settings_.max_heartbeats;
    hints_.fill(digest, now, small ? settings_.max_hints : 0);
    return digest;
}

void member_table::add_heartbeats(gossip_digest& digest, std::vector<named_member> chosen)
{
    const auto count = std::min(chosen.size(), settings_.max_heartbeats);
    const auto middle = chosen.begin() + static_cast<std::ptrdiff_t>(count);
    // Changed entries first, then those that were not sent for the longest time. The salt gives
    // each digest another order among equals.
    const auto salt = static_cast<member_id>(random_());
    const auto rank = [salt](const auto& item) {
        const auto& member = *item.second;
        return std::tuple{member.sends_left == 0, member.last_sent, item.first ^ salt};
    };
    std::partial_sort(chosen.begin(), middle, chosen.end(),
                      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    for (auto it = chosen.begin(); it != middle; ++it) {
        auto& member = *it->second;
        member.sends_left = std::max(0, member.sends_left - 1);
        member.last_sent = digests_made_;
        digest.heartbeats.push_back({it->first, member.entry.heartbeat, member.entry.state});
    }
}

void member_table::add_doubt(gossip_digest& digest, member_id id, known_member& member) const
{
    if (digest.doubts.size() < settings_.max_doubts) {
        --member.doubt_sends_left;
        digest.doubts.push_back({id, member.entry.heartbeat, member.entry.state});
    }
}

void member_table::add_details(gossip_digest& digest, std::vector<known_member*> news)
{
    if (own_detail_sends_left_ > 0) {
        --own_detail_sends_left_;
        digest.details.push_back(own_);
    }
    const auto room = settings_.max_details - digest.details.size();
    const auto count = std::min(news.size(), room);
    const auto middle = news.begin() + static_cast<std::ptrdiff_t>(count);
    std::shuffle(news.begin(), news.end(), random_);
    std::partial_sort(news.begin(), middle, news.end(), [](const auto* a, const auto* b) {
        return a->detail_sends_left > b->detail_sends_left;
    });
    for (auto it = news.begin(); it != middle; ++it) {
        --(*it)->detail_sends_left;
        digest.details.push_back((*it)->entry);
    }
}

void member_table::add_wanted(gossip_digest& digest)
{
    std::vector<member_id> ids;
    for (const auto& [id, unknown] : unknown_) {
        ids.push_back(id);
    }
    std::shuffle(ids.begin(), ids.end(), random_);
    ids.resize(std::min(ids.size(), settings_.max_wanted));
    digest.wanted = std::move(ids);
}

gossip_digest member_table::answer(const gossip_digest& request, time_ms now)
{
    merge(request, now);
    auto digest = make_digest(now);
    add_refutations(digest, request);
    add_wanted_details(digest, request);
    // Somebody who knows clearly fewer instances has just started or was cut off.
    if (request.known * 10 < digest.known * 9) {
        add_missing_details(digest, request, now);
    }
    return digest;
}

// Tells the sender of a doubt about the newer heartbeat that is known here.
void member_table::add_refutations(gossip_digest& digest, const gossip_digest& request) const
{
    for (const auto& doubt : request.doubts) {
        const auto found = members_.find(doubt.id);
        if (found != members_.end() && found->second.entry.heartbeat > doubt.heartbeat) {
            const auto& entry = found->second.entry;
            digest.heartbeats.push_back({doubt.id, entry.heartbeat, entry.state});
        }
    }
}

void member_table::add_detail(gossip_digest& digest, const member_entry& entry) const
{
    auto& held = digest.details;
    const bool already = std::any_of(held.begin(), held.end(), [&](const auto& detail) {
        return detail.incarnation == entry.incarnation;
    });
    if (!already && held.size() < settings_.max_details) {
        held.push_back(entry);
    }
}

void member_table::add_wanted_details(gossip_digest& digest, const gossip_digest& request) const
{
    for (const auto id : request.wanted) {
        const auto found = members_.find(id);
        if (found != members_.end()) {
            add_detail(digest, found->second.entry);
        } else if (id == own_id_) {
            add_detail(digest, own_);
        }
    }
}

void member_table::add_missing_details(gossip_digest& digest, const gossip_digest& request,
                                       time_ms now)
{
    add_detail(digest, own_);
    std::set<member_id> held;
    for (const auto& item : request.heartbeats) {
        held.insert(item.id);
    }
    std::vector<const member_entry*> missing;
    for (const auto& [id, member] : members_) {
        if (!held.contains(id) && id != request.own.id && !is_suspected(member, now)) {
            missing.push_back(&member.entry);
        }
    }
    std::shuffle(missing.begin(), missing.end(), random_);
    for (const auto* entry : missing) {
        add_detail(digest, *entry);
    }
}

void member_table::merge(const gossip_digest& digest, time_ms now)
{
    for (const auto& detail : digest.details) {
        merge_detail(detail, now);
    }
    merge_heartbeat(digest.own, now);
    for (const auto& item : digest.heartbeats) {
        merge_heartbeat(item, now);
    }
    for (const auto& item : digest.doubts) {
        merge_doubt(item, now);
    }
    const auto sender = members_.find(digest.own.id);
    if (sender != members_.end()) {
        auto& entry = sender->second.entry;
        const auto heard = std::pair{digest.config_term, digest.config_version};
        const auto held = std::pair{entry.config_term, entry.config_version};
        std::tie(entry.config_term, entry.config_version) = std::max(heard, held);
    }
    note_wanted(digest.wanted);
    hints_.merge(digest, now);
}

void member_table::merge_heartbeat(const heartbeat_item& item, time_ms now)
{
    if (item.id == own_id_ || superseded_.contains(item.id)) {
        return;
    }
    const auto found = members_.find(item.id);
    if (found == members_.end()) {
        merge_unknown(item, now);
        return;
    }
    auto& member = found->second;
    if (item.heartbeat <= member.entry.heartbeat) {
        return;
    }
    if (item.state != member.entry.state || member.doubted) {
        member.sends_left = rumour_sends();
    }
    member.doubted = false;
    member.entry.heartbeat = item.heartbeat;
    member.entry.state = item.state;
    member.last_progress = now;
}

void member_table::merge_unknown(const heartbeat_item& item, time_ms now)
{
    const auto found = unknown_.find(item.id);
    if (found != unknown_.end()) {
        found->second.item = std::max(found->second.item, item);
    } else if (unknown_.size() < max_unknown) {
        unknown_.emplace(item.id, unknown_member{item, now});
    }
}

void member_table::merge_detail(const member_entry& detail, time_ms now)
{
    if (detail.incarnation.empty() || detail.incarnation == own_.incarnation) {
        return;
    }
    if (detail.instance == own_.instance && detail.peer_address == own_.peer_address) {
        outlive(detail);
        return;
    }
    const auto id = id_of(detail.incarnation);
    const auto known = members_.find(id);
    if (known != members_.end() && known->second.entry.incarnation == detail.incarnation) {
        auto& held = known->second;
        if (detail.started_ms > held.entry.started_ms) {
            held.entry.started_ms = detail.started_ms;
            held.detail_sends_left = rumour_sends();
        }
        merge_heartbeat({id, detail.heartbeat, detail.state}, now);
        return;
    }
    const auto replaced = superseded_.find(id);
    if (known != members_.end() ||
        (replaced != superseded_.end() && replaced->second.started_ms >= detail.started_ms)) {
        return;
    }
    if (!yields_to_present(detail)) {
        insert(detail, now);
    }
}

// The wall clock may have been set back since the predecessor's start. This process holds the
// address, so it is the later one and says so with a higher start time.
void member_table::outlive(const member_entry& older)
{
    if (older.started_ms >= own_.started_ms) {
        own_.started_ms = older.started_ms + 1;
        own_detail_sends_left_ = rumour_sends();
    }
    supersede(older.incarnation, own_.started_ms);
}

// Marks the older of two incarnations of an instance; true if that is the given one.
bool member_table::yields_to_present(const member_entry& detail)
{
    std::vector<std::string> older;
    for (const auto& [id, member] : members_) {
        const auto& entry = member.entry;
        if (entry.instance != detail.instance || entry.peer_address != detail.peer_address) {
            continue;
        }
        if (std::pair{entry.started_ms, entry.incarnation} >
            std::pair{detail.started_ms, detail.incarnation}) {
            supersede(detail.incarnation, entry.started_ms);
            return true;
        }
        older.push_back(entry.incarnation);
    }
    for (const auto& incarnation : older) {
        supersede(incarnation, detail.started_ms);
    }
    return false;
}

void member_table::supersede(std::string_view older, std::int64_t started_ms)
{
    const auto id = id_of(older);
    members_.erase(id);
    unknown_.erase(id);
    hints_.forget(id);
    update_timeouts();
    if (superseded_.size() >= max_superseded) {
        superseded_.erase(superseded_.begin());
    }
    superseded_[id] = {started_ms};
}

void member_table::insert(const member_entry& detail, time_ms now)
{
    if (members_.size() >= settings_.max_entries) {
        return;
    }
    const auto id = id_of(detail.incarnation);
    superseded_.erase(id);
    // Only an instance that has just started is news; an older entry is new to this table alone.
    const bool news = detail.heartbeat <= news_heartbeats;
    known_member member{detail, now, rumour_sends(), news ? rumour_sends() : 0, 0};
    const auto heard = unknown_.find(id);
    if (heard != unknown_.end() && heard->second.item.heartbeat > detail.heartbeat) {
        member.entry.heartbeat = heard->second.item.heartbeat;
        member.entry.state = heard->second.item.state;
    }
    unknown_.erase(id);
    members_.emplace(id, std::move(member));
    update_timeouts();
}

void member_table::note_wanted(const std::vector<member_id>& wanted)
{
    for (const auto id : wanted) {
        const auto found = members_.find(id);
        if (found != members_.end()) {
            found->second.detail_sends_left = std::max(found->second.detail_sends_left, 1);
        } else if (id == own_id_) {
            own_detail_sends_left_ = std::max(own_detail_sends_left_, 1);
        }
    }
}

void member_table::forget_dead(time_ms now)
{
    const auto limit = std::max(settings_.forget_after, suspicion_timeout_);
    std::erase_if(members_, [&](const auto& member) {
        const bool dead = member.second.last_progress + limit < now;
        if (dead) {
            hints_.forget(member.first);
        }
        return dead;
    });
    update_timeouts();
    std::erase_if(unknown_, [now](const auto& unknown) {
        return unknown.second.heard_at + unknown_lifetime < now;
    });
}

std::vector<member_view> member_table::members(time_ms now) const
{
    std::vector<member_view> views;
    for (const auto& [id, member] : members_) {
        views.push_back({member.entry, is_suspected(member, now), member.last_progress});
    }
    std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) {
        return a.entry.incarnation < b.entry.incarnation;
    });
    return views;
}

std::optional<member_view> member_table::find(std::string_view incarnation, time_ms now) const
{
    const auto found = members_.find(id_of(incarnation));
    if (found == members_.end() || found->second.entry.incarnation != incarnation) {
        return std::nullopt;
    }
    const auto& member = found->second;
    return member_view{member.entry, is_suspected(member, now), member.last_progress};
}

std::string member_table::peer_address_of(std::string_view incarnation) const
{
    const auto found = find(incarnation, time_ms{});
    return found ? found->entry.peer_address : std::string{};
}

bool member_table::superseded(std::string_view incarnation) const
{
    return superseded_.contains(id_of(incarnation));
}

int member_table::live_instances(time_ms now) const
{
    return 1 + static_cast<int>(
                   std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
                       return !is_suspected(member.second, now);
                   }));
}

std::optional<config_source> member_table::newer_config(time_ms now) const
{
    std::optional<config_source> best;
    auto highest = std::pair{own_.config_term, own_.config_version};
    for (const auto& [id, member] : members_) {
        const auto& entry = member.entry;
        const auto offered = std::pair{entry.config_term, entry.config_version};
        if (offered > highest && !is_suspected(member, now)) {
            highest = offered;
            best = config_source{offered.first, offered.second, entry.peer_address};
        }
    }
    return best;
}

std::optional<member_entry> member_table::holder_of(std::string_view budget, time_ms now) const
{
    for (const auto& hint : hints_.ranked(budget, now)) {
        const auto found = members_.find(hint.id);
        if (found != members_.end() && !is_suspected(found->second, now)) {
            return found->second.entry;
        }
    }
    return std::nullopt;
}

} // namespace jujubevalve
