#include "dispatch/fleet_notices.h"

#include "core/digest.h"
#include "dispatch/request_identity.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <tuple>
#include <type_traits>

namespace jujubevalve
{

namespace
{
time_ms stamp_of(const crash_notice& notice)
{
    return notice.at;
}
time_ms stamp_of(const sound_notice& notice)
{
    return notice.at;
}
time_ms stamp_of(const quarantine_notice& notice)
{
    return notice.since;
}
time_ms stamp_of(const limit_notice& notice)
{
    return notice.at;
}

std::uint64_t hash_numbers(const std::vector<std::uint64_t>& numbers, std::uint64_t seed)
{
    return hash64(
        {reinterpret_cast<const char*>(numbers.data()), numbers.size() * sizeof(std::uint64_t)},
        seed);
}

std::uint64_t hash_of(const crash_notice& notice)
{
    auto hash = hash_numbers(
        {notice.server, notice.reporter, static_cast<std::uint64_t>(notice.at.count())}, 1);
    for (const auto& prompt : notice.suspects) {
        hash = hash_numbers(prompt, hash);
    }
    return hash;
}
std::uint64_t hash_of(const sound_notice& notice)
{
    return hash_numbers({notice.block, static_cast<std::uint64_t>(notice.at.count())}, 2);
}
std::uint64_t hash_of(const quarantine_notice& notice)
{
    return hash_numbers({notice.block, static_cast<std::uint64_t>(notice.since.count()),
                         static_cast<std::uint64_t>(notice.level)},
                        3);
}

std::uint64_t hash_of(const limit_notice& notice)
{
    return hash_numbers({notice.server, static_cast<std::uint64_t>(notice.at.count()),
                         static_cast<std::uint64_t>(notice.per_1000_s.value_or(-1))},
                        4);
}
} // namespace

std::uint64_t server_key(std::string_view id, std::int64_t incarnation)
{
    return hash64(id, static_cast<std::uint64_t>(incarnation));
}

std::vector<std::string> choose_notice_peers(const std::string& own,
                                             const std::vector<std::string>& instances,
                                             std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> ring;
    for (const auto& instance : instances) {
        if (instance != own) {
            // Distance to the right of this instance on a ring of hashes.
            ring.emplace_back(hash64(instance) - hash64(own), instance);
        }
    }
    count = std::min(count, ring.size());
    if (count == 0) {
        return {};
    }
    std::iter_swap(ring.begin(), std::min_element(ring.begin(), ring.end()));
    const auto own_seed = hash64(own, 1);
    for (auto peer = ring.begin() + 1; peer != ring.end(); ++peer) {
        peer->first = hash64(peer->second, own_seed);
    }
    std::partial_sort(ring.begin() + 1, ring.begin() + static_cast<std::ptrdiff_t>(count),
                      ring.end());
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(ring[i].second);
    }
    return chosen;
}

notice_board::notice_board(notice_board_options options)
    : options_{options}
{
}

void notice_board::report_dropped(std::string_view what, std::size_t count) const
{
    if (count > 0 && on_dropped) {
        on_dropped(what, count);
    }
}

template <class Map, class Notice>
void notice_board::replace(Map& notices, const typename Map::key_type& key, Notice notice)
{
    const auto found = notices.find(key);
    if (found != notices.end()) {
        remove(notices, found);
    }
    digest_ += hash_of(notice);
    if constexpr (std::is_same_v<Notice, crash_notice>) {
        index(notice);
    }
    notices.emplace(key, std::move(notice));
}

template <class Map>
typename Map::iterator notice_board::remove(Map& notices, typename Map::iterator entry)
{
    digest_ -= hash_of(entry->second);
    if constexpr (std::is_same_v<typename Map::mapped_type, crash_notice>) {
        remove_from_index(entry->second);
    }
    return notices.erase(entry);
}

template <class Map>
void notice_board::remove_expired(Map& notices, time_ms now)
{
    for (auto entry = notices.begin(); entry != notices.end();) {
        entry = has_expired(entry->second, now) ? remove(notices, entry) : std::next(entry);
    }
}

template <class Map>
void notice_board::limit_size(Map& notices, std::size_t max_size)
{
    while (notices.size() > max_size) {
        const auto evicted =
            std::min_element(notices.begin(), notices.end(), [this](const auto& a, const auto& b) {
                return std::pair{!is_refuted(a.second), stamp_of(a.second)} <
                       std::pair{!is_refuted(b.second), stamp_of(b.second)};
            });
        if constexpr (std::is_same_v<typename Map::mapped_type, sound_notice>) {
            // Without the answer that has ended it, a quarantine would be in force again.
            const auto quarantine = quarantines_.find(evicted->first);
            if (quarantine != quarantines_.end() && !is_in_force(quarantine->second)) {
                remove(quarantines_, quarantine);
            }
        }
        remove(notices, evicted);
        report_dropped("notices", 1);
    }
}

// Whether a crash is refuted takes a look at all its blocks, so it is asked once for each.
void notice_board::limit_crash_blocks()
{
    const auto is_full = [this] {
        return crash_blocks_ > options_.max_crash_blocks || crashes_.size() > options_.max_notices;
    };
    if (!is_full()) {
        return;
    }
    using candidate = std::tuple<bool, time_ms, crash_key>;
    std::vector<candidate> candidates;
    candidates.reserve(crashes_.size());
    for (const auto& [key, notice] : crashes_) {
        candidates.emplace_back(!is_refuted(notice), notice.at, key);
    }
    std::make_heap(candidates.begin(), candidates.end(), std::greater<>{});
    while (is_full()) {
        std::pop_heap(candidates.begin(), candidates.end(), std::greater<>{});
        remove(crashes_, crashes_.find(std::get<crash_key>(candidates.back())));
        candidates.pop_back();
        report_dropped("crash notices", 1);
    }
}

void notice_board::index(const crash_notice& notice)
{
    for (const auto& prompt : notice.suspects) {
        crash_blocks_ += prompt.size();
        for (const auto block : prompt) {
            auto& record = crash_index_[block];
            record.last = record.notices == 0 ? notice.at : std::max(record.last, notice.at);
            ++record.notices;
        }
    }
}

// The time of a later crash that is removed stays until the last one with the block is. It can only
// make an instance publish a sound answer that does not matter any more.
void notice_board::remove_from_index(const crash_notice& notice)
{
    for (const auto& prompt : notice.suspects) {
        crash_blocks_ -= prompt.size();
        for (const auto block : prompt) {
            const auto found = crash_index_.find(block);
            if (--found->second.notices == 0) {
                crash_index_.erase(found);
            }
        }
    }
}

std::optional<time_ms> notice_board::newest_crash() const
{
    const auto newest =
        std::max_element(crashes_.begin(), crashes_.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    return newest == crashes_.end() ? std::nullopt : std::optional{newest->second.at};
}

std::optional<time_ms> notice_board::last_crash_with(std::uint64_t block) const
{
    const auto found = crash_index_.find(block);
    return found == crash_index_.end() ? std::nullopt : std::optional{found->second.last};
}

std::optional<time_ms> notice_board::last_sound(std::uint64_t block) const
{
    const auto found = sounds_.find(block);
    return found == sounds_.end() ? std::nullopt : std::optional{found->second.at};
}

time_ms notice_board::duration_of(const quarantine_notice& quarantine) const
{
    auto duration = options_.quarantine_time;
    for (auto level = quarantine.level; level > 0 && duration < options_.max_quarantine_time;
         --level) {
        duration = duration * options_.quarantine_growth;
    }
    return std::min(duration, options_.max_quarantine_time);
}

time_ms notice_board::end_of(const quarantine_notice& quarantine) const
{
    return quarantine.since + duration_of(quarantine);
}

bool notice_board::is_in_force(const quarantine_notice& quarantine) const
{
    const auto sound = last_sound(quarantine.block);
    return !sound || *sound < quarantine.since;
}

bool notice_board::is_clear_of(std::uint64_t block, time_ms crashed_at) const
{
    const auto sound = last_sound(block);
    const auto quarantine = quarantines_.find(block);
    const bool was_blamed = quarantine != quarantines_.end() && !is_in_force(quarantine->second);
    return sound && *sound > crashed_at - (was_blamed ? time_ms{0} : options_.sound_grace);
}

bool notice_board::is_refuted(const crash_notice& notice) const
{
    return std::all_of(
        notice.suspects.begin(), notice.suspects.end(), [&](const shared_prompt& prompt) {
            return std::all_of(prompt.begin(), prompt.end(),
                               [&](std::uint64_t block) { return is_clear_of(block, notice.at); });
        });
}

bool notice_board::is_refuted(const sound_notice& notice) const
{
    return !crash_index_.contains(notice.block) && !quarantines_.contains(notice.block);
}

bool notice_board::is_refuted(const quarantine_notice& notice) const
{
    return !is_in_force(notice);
}

// Only an answer without a limit, or a new incarnation of the server, ends one.
bool notice_board::is_refuted(const limit_notice& notice)
{
    return !notice.per_1000_s;
}

bool notice_board::has_expired(const crash_notice& notice, time_ms now) const
{
    if (notice.at + options_.min_crash_time > now) {
        return false;
    }
    const bool is_past_requests = notice.at + options_.request_memory <= now;
    return std::all_of(
        notice.suspects.begin(), notice.suspects.end(), [&](const shared_prompt& prompt) {
            return std::all_of(prompt.begin(), prompt.end(), [&](std::uint64_t block) {
                return (is_past_requests && is_request_identity(block)) ||
                       is_clear_of(block, notice.at);
            });
        });
}

bool notice_board::has_expired(const sound_notice& notice, time_ms now) const
{
    return notice.at + options_.min_sound_time <= now && is_refuted(notice);
}

bool notice_board::has_expired(const quarantine_notice& notice, time_ms now) const
{
    return !is_in_force(notice) && *last_sound(notice.block) + options_.quarantine_memory <= now;
}

bool notice_board::has_expired(const limit_notice& /*notice*/, time_ms /*now*/)
{
    return false;
}

bool notice_board::put(const fleet_notice& notice, time_ms now)
{
    const bool is_news = std::visit(
        [&](const auto& typed) {
            return stamp_of(typed) <= now + options_.max_clock_error && !has_expired(typed, now) &&
                   merge(typed);
        },
        notice);
    if (is_news && on_news) {
        on_news(notice);
    }
    return is_news;
}

// Reports of one crash by the same reporter add up; the earliest stamp counts.
bool notice_board::merge(const crash_notice& notice)
{
    std::size_t dropped_blocks = 0;
    auto suspects = notice.suspects;
    for (auto& prompt : suspects) {
        if (prompt.size() > options_.max_blocks) {
            dropped_blocks += prompt.size() - options_.max_blocks;
            prompt.resize(options_.max_blocks);
        }
    }
    report_dropped("blocks of a prompt", dropped_blocks);
    std::sort(suspects.begin(), suspects.end());
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    const crash_key key{notice.server, notice.reporter};
    const auto found = crashes_.find(key);
    auto merged = notice;
    if (found != crashes_.end()) {
        const auto& known = found->second;
        merged.at = std::min(known.at, notice.at);
        merged.suspects.clear();
        std::set_union(known.suspects.begin(), known.suspects.end(), suspects.begin(),
                       suspects.end(), std::back_inserter(merged.suspects));
    } else {
        merged.suspects = std::move(suspects);
    }
    if (merged.suspects.size() > options_.max_suspects) {
        report_dropped("prompts of a crash", merged.suspects.size() - options_.max_suspects);
        merged.suspects.resize(options_.max_suspects);
    }
    if (found != crashes_.end() && found->second == merged) {
        return false;
    }
    replace(crashes_, key, std::move(merged));
    limit_crash_blocks();
    return crashes_.contains(key);
}

bool notice_board::merge(const sound_notice& notice)
{
    const auto known = last_sound(notice.block);
    if (known && *known >= notice.at) {
        return false;
    }
    replace(sounds_, notice.block, notice);
    limit_size(sounds_, options_.max_sounds);
    return sounds_.contains(notice.block);
}

bool notice_board::merge(const quarantine_notice& notice)
{
    const auto found = quarantines_.find(notice.block);
    if (found != quarantines_.end() && std::tie(found->second.since, found->second.level) >=
                                           std::tie(notice.since, notice.level)) {
        return false;
    }
    replace(quarantines_, notice.block, notice);
    limit_size(quarantines_, options_.max_notices);
    return quarantines_.contains(notice.block);
}

// Of two limits named at the same moment the lower one counts.
bool notice_board::merge(const limit_notice& notice)
{
    const auto found = limits_.find(notice.server);
    if (found != limits_.end()) {
        const auto& known = found->second;
        const auto is_lower =
            notice.per_1000_s && (!known.per_1000_s || *notice.per_1000_s < *known.per_1000_s);
        if (known.at > notice.at || (known.at == notice.at && !is_lower)) {
            return false;
        }
    }
    replace(limits_, notice.server, notice);
    limit_size(limits_, options_.max_notices);
    return limits_.contains(notice.server);
}

void notice_board::expire(time_ms now)
{
    remove_expired(crashes_, now);
    remove_expired(quarantines_, now);
    remove_expired(sounds_, now); // last: kept for the others
}

std::vector<fleet_notice> notice_board::all_since(time_ms oldest) const
{
    std::vector<fleet_notice> found;
    const auto add = [&](const auto& notices, time_ms first) {
        for (const auto& [key, notice] : notices) {
            if (stamp_of(notice) >= first) {
                found.emplace_back(notice);
            }
        }
    };
    // Quarantines first: they matter most to an instance that has just joined.
    add(quarantines_, time_ms{});
    add(limits_, time_ms{});
    // An old sound answer is only taken for a crash that is known.
    add(crashes_, oldest);
    add(sounds_, oldest);
    return found;
}

bool notice_board::empty() const
{
    return crashes_.empty() && sounds_.empty() && quarantines_.empty() && limits_.empty();
}

} // namespace jujubevalve
