#include "dispatch/fleet_notices.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <string>
#include <tuple>

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

std::size_t count_blocks(const crash_notice& notice)
{
    std::size_t blocks = 0;
    for (const auto& prompt : notice.suspects) {
        blocks += prompt.size();
    }
    return blocks;
}

template <class Map>
void erase_oldest(Map& notices)
{
    notices.erase(
        std::min_element(notices.begin(), notices.end(), [](const auto& a, const auto& b) {
            return stamp_of(a.second) < stamp_of(b.second);
        }));
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

template <class Map>
void notice_board::limit_size(Map& notices)
{
    while (notices.size() > options_.max_notices) {
        erase_oldest(notices);
        report_dropped("notices", 1);
    }
}

void notice_board::limit_crash_blocks()
{
    bool has_erased = false;
    while (crash_blocks_ > options_.max_crash_blocks || crashes_.size() > options_.max_notices) {
        erase_oldest(crashes_);
        report_dropped("crash notices", 1);
        has_erased = true;
        crash_blocks_ = 0;
        for (const auto& [key, notice] : crashes_) {
            crash_blocks_ += count_blocks(notice);
        }
    }
    if (has_erased) {
        rebuild_index();
    }
}

// Reports of the same crash only move its time back, so that the later time stays until the notice
// expires. It can only make an instance publish a sound answer that does not matter any more.
void notice_board::index(const crash_notice& notice)
{
    for (const auto& prompt : notice.suspects) {
        for (const auto block : prompt) {
            auto& last = last_crashes_.try_emplace(block, notice.at).first->second;
            last = std::max(last, notice.at);
        }
    }
}

void notice_board::rebuild_index()
{
    last_crashes_.clear();
    crash_blocks_ = 0;
    for (const auto& [key, notice] : crashes_) {
        index(notice);
        crash_blocks_ += count_blocks(notice);
    }
}

std::optional<time_ms> notice_board::last_crash_with(std::uint64_t block) const
{
    const auto found = last_crashes_.find(block);
    return found == last_crashes_.end() ? std::nullopt : std::optional{found->second};
}

time_ms notice_board::duration_of(const quarantine_notice& quarantine) const
{
    constexpr std::int64_t max_doublings = 30;
    const auto doublings = std::clamp<std::int64_t>(quarantine.level, 0, max_doublings);
    return std::min(options_.quarantine_time * (std::int64_t{1} << doublings),
                    options_.max_quarantine_time);
}

time_ms notice_board::end_of(const quarantine_notice& quarantine) const
{
    return quarantine.since + duration_of(quarantine);
}

time_ms notice_board::lapse_of(const quarantine_notice& quarantine) const
{
    return quarantine.since + duration_of(quarantine) * 2;
}

time_ms notice_board::expiry_of(const crash_notice& notice) const
{
    return notice.at + options_.crash_retention;
}

time_ms notice_board::expiry_of(const sound_notice& notice) const
{
    return notice.at + options_.sound_retention;
}

time_ms notice_board::expiry_of(const quarantine_notice& notice) const
{
    return lapse_of(notice) + options_.quarantine_memory;
}

time_ms notice_board::expiry_of(const limit_notice& notice) const
{
    return notice.at + options_.limit_retention;
}

bool notice_board::put(const fleet_notice& notice, time_ms now)
{
    const bool is_news = std::visit(
        [&](const auto& typed) {
            return stamp_of(typed) <= now + options_.max_clock_error && expiry_of(typed) > now &&
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
    std::size_t known_blocks = 0;
    if (found != crashes_.end()) {
        const auto& known = found->second;
        known_blocks = count_blocks(known);
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
    index(merged);
    crash_blocks_ += count_blocks(merged) - known_blocks;
    crashes_[key] = std::move(merged);
    limit_crash_blocks();
    return crashes_.contains(key);
}

bool notice_board::merge(const sound_notice& notice)
{
    auto& known = sounds_[notice.block];
    if (known.block == notice.block && known.at >= notice.at) {
        return false;
    }
    known = notice;
    limit_size(sounds_);
    return sounds_.contains(notice.block);
}

bool notice_board::merge(const quarantine_notice& notice)
{
    const auto found = quarantines_.find(notice.block);
    if (found != quarantines_.end() && std::tie(found->second.since, found->second.level) >=
                                           std::tie(notice.since, notice.level)) {
        return false;
    }
    quarantines_[notice.block] = notice;
    limit_size(quarantines_);
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
    limits_[notice.server] = notice;
    limit_size(limits_);
    return limits_.contains(notice.server);
}

void notice_board::expire(time_ms now)
{
    const auto has_expired = [&](const auto& entry) { return expiry_of(entry.second) <= now; };
    if (std::erase_if(crashes_, has_expired) > 0) {
        rebuild_index();
    }
    std::erase_if(sounds_, has_expired);
    std::erase_if(quarantines_, has_expired);
    std::erase_if(limits_, has_expired);
}

std::vector<fleet_notice> notice_board::all() const
{
    std::vector<fleet_notice> found;
    // Quarantines first: they matter most to an instance that has just joined.
    for (const auto& [block, notice] : quarantines_) {
        found.emplace_back(notice);
    }
    for (const auto& [server, notice] : limits_) {
        found.emplace_back(notice);
    }
    for (const auto& [block, notice] : sounds_) {
        found.emplace_back(notice);
    }
    for (const auto& [key, notice] : crashes_) {
        found.emplace_back(notice);
    }
    return found;
}

bool notice_board::empty() const
{
    return crashes_.empty() && sounds_.empty() && quarantines_.empty() && limits_.empty();
}

std::uint64_t notice_board::digest() const
{
    std::uint64_t sum = 0;
    const auto add = [&sum](const auto& notices) {
        for (const auto& [key, notice] : notices) {
            sum += hash_of(notice);
        }
    };
    add(crashes_);
    add(sounds_);
    add(quarantines_);
    add(limits_);
    return sum;
}

} // namespace jujubevalve
