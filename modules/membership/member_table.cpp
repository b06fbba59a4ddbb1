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
constexpr std::size_t max_unknown_members = 1000;
constexpr time_ms unknown_lifetime = seconds(60);
constexpr std::size_t max_superseded = 2000;
/// An incarnation with at most this heartbeat has just started, so its details are spread.
constexpr std::int64_t new_member_max_heartbeat = 60;
/// One in this many rounds, at random, also contacts a suspected peer or a seed.
constexpr unsigned rounds_per_rejoin = 8;

template <class Container>
const auto& random_element(const Container& values, std::mt19937& random)
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
    , own_detail_sends_left_{transmit_limit()}
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

int member_table::transmit_limit() const
{
    // An update that each instance sends 2 log2(n) times reaches all but a small fraction of the
    // fleet. Regular heartbeats and requests for the details of unknown ids reach the rest.
    return 4 + static_cast<int>(2 * std::log2(static_cast<double>(members_.size() + 1)));
}

void member_table::update_timeouts()
{
    const auto size = static_cast<double>(members_.size() + 1);
    const auto interval = static_cast<double>(settings_.interval.count());
    const double spread_time = interval * std::log2(size);
    // A digest renews one of size / (max_heartbeats + 1) entries, its sender's own included.
    const double digests_per_pass = size / static_cast<double>(settings_.max_heartbeats + 1);
    // The factor 1.25 leaves a margin of a quarter above the longest renewal at 27 instances, the
    // size with the smallest margin.
    const auto renewal_time = spread_time * std::max(1.0, 1.25 * digests_per_pass);
    suspicion_timeout_ =
        std::max(settings_.suspect_after,
                 settings_.interval + time_ms{static_cast<std::int64_t>(renewal_time)});
    // The report has to reach the reported instance and the refutation has to come back. Each
    // takes less than half of log2(size) rounds (docs/membership.md).
    refutation_timeout_ = settings_.suspect_after + time_ms{static_cast<std::int64_t>(spread_time)};
}

bool member_table::is_suspected(const known_member& member, time_ms now) const
{
    return member.last_progress + suspicion_timeout_ < now ||
           (member.reported_unreachable && member.reported_at + refutation_timeout_ < now);
}

void member_table::record_exchange(std::string_view peer_address, bool succeeded, time_ms now)
{
    for (auto& [id, member] : members_) {
        if (member.entry.peer_address == peer_address) {
            member.failed_exchanges = succeeded ? 0 : member.failed_exchanges + 1;
            if (member.failed_exchanges >= 2 && !member.reported_unreachable) {
                mark_unreachable(member, now);
            }
        }
    }
}

void member_table::mark_unreachable(known_member& member, time_ms now)
{
    member.reported_unreachable = true;
    member.reported_at = now;
    member.unreachable_sends_left = transmit_limit();
}

void member_table::merge_unreachable(const member_heartbeat& report, time_ms now)
{
    if (report.id == own_id_) {
        own_.heartbeat = std::max(own_.heartbeat, report.heartbeat + 1);
        return;
    }
    const auto found = members_.find(report.id);
    if (found == members_.end()) {
        return;
    }
    auto& member = found->second;
    if (member.entry.heartbeat > report.heartbeat) {
        // The report is outdated: sends the newer heartbeat. If the instance has terminated and
        // this is its last heartbeat, the next failed exchange reports it unreachable again, and
        // no higher heartbeat can refute that report.
        member.sends_left = std::max(member.sends_left, 2);
    } else if (!member.reported_unreachable) {
        this->mark_unreachable(member, now);
    }
}

std::vector<const std::string*> member_table::addresses_to_retry(time_ms now) const
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
    remove_dead(now);
    std::vector<const std::string*> live;
    std::vector<const std::string*> rejoin_candidates;
    for (const auto& [id, member] : members_) {
        (is_suspected(member, now) ? rejoin_candidates : live)
            .push_back(&member.entry.peer_address);
    }
    for (const auto& seed : seeds_) {
        const bool known_live = std::any_of(live.begin(), live.end(),
                                            [&](const auto* address) { return *address == seed; });
        if (seed != own_.peer_address && !known_live) {
            rejoin_candidates.push_back(&seed);
        }
    }
    auto chosen = addresses_to_retry(now);
    std::sample(live.begin(), live.end(), std::back_inserter(chosen),
                settings_.fan_out - chosen.size(), random_);
    std::vector<std::string> addresses;
    addresses.reserve(chosen.size() + 1);
    for (const auto* address : chosen) {
        addresses.push_back(*address);
    }
    if (!rejoin_candidates.empty() && (addresses.empty() || random_() % rounds_per_rejoin == 0)) {
        addresses.push_back(*random_element(rejoin_candidates, random_));
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
    std::vector<member_ref> live;
    std::vector<known_member*> new_members;
    for (auto& [id, member] : members_) {
        if (!is_suspected(member, now)) {
            live.emplace_back(id, &member);
        }
        if (member.reported_unreachable && member.unreachable_sends_left > 0) {
            add_unreachable(digest, id, member);
        }
        if (member.detail_sends_left > 0) {
            new_members.push_back(&member);
        }
    }
    digest.known = static_cast<std::int64_t>(live.size()) + 1;
    add_heartbeats(digest, std::move(live));
    add_details(digest, std::move(new_members));
    add_detail_requests(digest);
    // Digests that hold every entry also have space for hints that no peer has requested.
    const bool all_entries_fit = members_.size() <= settings_.max_heartbeats;
    hints_.fill(digest, now, all_entries_fit ? settings_.max_hints : 0);
    return digest;
}

void member_table::add_heartbeats(gossip_digest& digest, std::vector<member_ref> live)
{
    const auto count = std::min(live.size(), settings_.max_heartbeats);
    const auto middle = live.begin() + static_cast<std::ptrdiff_t>(count);
    // Changed entries first, then the least recently sent ones. The salt varies the order of
    // equally ranked entries between digests.
    const auto salt = static_cast<member_id>(random_());
    const auto rank = [salt](const auto& ref) {
        const auto& member = *ref.second;
        return std::tuple{member.sends_left == 0, member.last_sent, ref.first ^ salt};
    };
    std::partial_sort(live.begin(), middle, live.end(),
                      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    for (auto it = live.begin(); it != middle; ++it) {
        auto& member = *it->second;
        member.sends_left = std::max(0, member.sends_left - 1);
        member.last_sent = digests_made_;
        digest.heartbeats.push_back({it->first, member.entry.heartbeat, member.entry.state});
    }
}

void member_table::add_unreachable(gossip_digest& digest, member_id id, known_member& member) const
{
    if (digest.doubts.size() < settings_.max_unreachable) {
        --member.unreachable_sends_left;
        digest.doubts.push_back({id, member.entry.heartbeat, member.entry.state});
    }
}

void member_table::add_details(gossip_digest& digest, std::vector<known_member*> new_members)
{
    if (own_detail_sends_left_ > 0) {
        --own_detail_sends_left_;
        digest.details.push_back(own_);
    }
    const auto headroom = settings_.max_details - digest.details.size();
    const auto count = std::min(new_members.size(), headroom);
    const auto middle = new_members.begin() + static_cast<std::ptrdiff_t>(count);
    std::shuffle(new_members.begin(), new_members.end(), random_);
    std::partial_sort(
        new_members.begin(), middle, new_members.end(),
        [](const auto* a, const auto* b) { return a->detail_sends_left > b->detail_sends_left; });
    for (auto it = new_members.begin(); it != middle; ++it) {
        --(*it)->detail_sends_left;
        digest.details.push_back((*it)->entry);
    }
}

void member_table::add_detail_requests(gossip_digest& digest)
{
    std::vector<member_id> ids;
    for (const auto& [id, unknown] : unknown_) {
        ids.push_back(id);
    }
    std::shuffle(ids.begin(), ids.end(), random_);
    ids.resize(std::min(ids.size(), settings_.max_requested_details));
    digest.wanted = std::move(ids);
}

gossip_digest member_table::answer(const gossip_digest& request, time_ms now)
{
    merge(request, now);
    auto digest = make_digest(now);
    add_refutations(digest, request);
    add_requested_details(digest, request);
    // A sender that knows less than 90 % of the instances has just started or was partitioned.
    if (request.known * 10 < digest.known * 9) {
        add_missing_details(digest, request, now);
    }
    return digest;
}

// Answers outdated unreachability reports with the newer heartbeats that this table holds.
void member_table::add_refutations(gossip_digest& digest, const gossip_digest& request) const
{
    for (const auto& report : request.doubts) {
        const auto found = members_.find(report.id);
        if (found != members_.end() && found->second.entry.heartbeat > report.heartbeat) {
            const auto& entry = found->second.entry;
            digest.heartbeats.push_back({report.id, entry.heartbeat, entry.state});
        }
    }
}

void member_table::add_detail(gossip_digest& digest, const member_entry& entry) const
{
    auto& details = digest.details;
    const bool present = std::any_of(details.begin(), details.end(), [&](const auto& detail) {
        return detail.incarnation == entry.incarnation;
    });
    if (!present && details.size() < settings_.max_details) {
        details.push_back(entry);
    }
}

void member_table::add_requested_details(gossip_digest& digest, const gossip_digest& request) const
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
    std::set<member_id> known_to_sender;
    for (const auto& item : request.heartbeats) {
        known_to_sender.insert(item.id);
    }
    std::vector<const member_entry*> missing;
    for (const auto& [id, member] : members_) {
        if (!known_to_sender.contains(id) && id != request.own.id && !is_suspected(member, now)) {
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
    for (const auto& report : digest.doubts) {
        merge_unreachable(report, now);
    }
    const auto sender = members_.find(digest.own.id);
    if (sender != members_.end()) {
        auto& entry = sender->second.entry;
        const auto received = std::pair{digest.config_term, digest.config_version};
        const auto current = std::pair{entry.config_term, entry.config_version};
        std::tie(entry.config_term, entry.config_version) = std::max(received, current);
    }
    schedule_requested_details(digest.wanted);
    hints_.merge(digest, now);
}

void member_table::merge_heartbeat(const member_heartbeat& received, time_ms now)
{
    if (received.id == own_id_ || superseded_.contains(received.id)) {
        return;
    }
    const auto found = members_.find(received.id);
    if (found == members_.end()) {
        merge_unknown(received, now);
        return;
    }
    auto& member = found->second;
    if (received.heartbeat <= member.entry.heartbeat) {
        return;
    }
    if (received.state != member.entry.state || member.reported_unreachable) {
        member.sends_left = transmit_limit();
    }
    member.reported_unreachable = false;
    member.entry.heartbeat = received.heartbeat;
    member.entry.state = received.state;
    member.last_progress = now;
}

void member_table::merge_unknown(const member_heartbeat& received, time_ms now)
{
    const auto found = unknown_.find(received.id);
    if (found != unknown_.end()) {
        found->second.latest = std::max(found->second.latest, received);
    } else if (unknown_.size() < max_unknown_members) {
        unknown_.emplace(received.id, unknown_member{received, now});
    }
}

void member_table::merge_detail(const member_entry& detail, time_ms now)
{
    if (detail.incarnation.empty() || detail.incarnation == own_.incarnation) {
        return;
    }
    if (detail.instance == own_.instance && detail.peer_address == own_.peer_address) {
        supersede_predecessor(detail);
        return;
    }
    const auto id = id_of(detail.incarnation);
    const auto found = members_.find(id);
    if (found != members_.end() && found->second.entry.incarnation == detail.incarnation) {
        auto& member = found->second;
        if (detail.started_ms > member.entry.started_ms) {
            member.entry.started_ms = detail.started_ms;
            member.detail_sends_left = transmit_limit();
        }
        merge_heartbeat({id, detail.heartbeat, detail.state}, now);
        return;
    }
    const auto successor_entry = superseded_.find(id);
    if (found != members_.end() || (successor_entry != superseded_.end() &&
                                    successor_entry->second.started_ms >= detail.started_ms)) {
        return;
    }
    if (!superseded_by_known(detail)) {
        insert(detail, now);
    }
}

// The wall clock may have been set back since the predecessor's start. This process has bound the
// address, so it is the later one, and raises its start time above the predecessor's.
void member_table::supersede_predecessor(const member_entry& predecessor)
{
    if (predecessor.started_ms >= own_.started_ms) {
        own_.started_ms = predecessor.started_ms + 1;
        own_detail_sends_left_ = transmit_limit();
    }
    supersede(predecessor.incarnation, own_.started_ms);
}

// Marks the older of two incarnations of an instance as superseded. Returns true if that is the
// given one.
bool member_table::superseded_by_known(const member_entry& detail)
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
    // Details are spread only for an instance that has just started; an older entry is new to
    // this table alone.
    const bool just_started = detail.heartbeat <= new_member_max_heartbeat;
    known_member member{detail, now, transmit_limit(), just_started ? transmit_limit() : 0, 0};
    const auto heartbeat_only = unknown_.find(id);
    if (heartbeat_only != unknown_.end() &&
        heartbeat_only->second.latest.heartbeat > detail.heartbeat) {
        member.entry.heartbeat = heartbeat_only->second.latest.heartbeat;
        member.entry.state = heartbeat_only->second.latest.state;
    }
    unknown_.erase(id);
    members_.emplace(id, std::move(member));
    update_timeouts();
}

void member_table::schedule_requested_details(const std::vector<member_id>& ids)
{
    for (const auto id : ids) {
        const auto found = members_.find(id);
        if (found != members_.end()) {
            found->second.detail_sends_left = std::max(found->second.detail_sends_left, 1);
        } else if (id == own_id_) {
            own_detail_sends_left_ = std::max(own_detail_sends_left_, 1);
        }
    }
}

void member_table::remove_dead(time_ms now)
{
    const auto max_age = std::max(settings_.remove_after, suspicion_timeout_);
    std::erase_if(members_, [&](const auto& member) {
        const bool dead = member.second.last_progress + max_age < now;
        if (dead) {
            hints_.forget(member.first);
        }
        return dead;
    });
    update_timeouts();
    std::erase_if(unknown_, [now](const auto& unknown) {
        return unknown.second.first_seen_at + unknown_lifetime < now;
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
    std::optional<config_source> source;
    auto highest = std::pair{own_.config_term, own_.config_version};
    for (const auto& [id, member] : members_) {
        const auto& entry = member.entry;
        const auto offered = std::pair{entry.config_term, entry.config_version};
        if (offered > highest && !is_suspected(member, now)) {
            highest = offered;
            source = config_source{offered.first, offered.second, entry.peer_address};
        }
    }
    return source;
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
