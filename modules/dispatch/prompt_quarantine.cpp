#include "dispatch/prompt_quarantine.h"

#include "core/digest.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <string>
#include <utility>

namespace jujubevalve
{

namespace
{
/// The estimate of the store's time may go back by this much while an answer is awaited.
constexpr time_ms max_clock_step{1000};

bool contains(const shared_prompt& prompt, std::uint64_t block)
{
    return std::find(prompt.begin(), prompt.end(), block) != prompt.end();
}

std::int64_t next_level(const quarantine_notice& quarantine)
{
    return std::min(quarantine.level + 1, max_quarantine_level);
}

template <class Predicate>
bool any_block(const crash_notice& notice, const Predicate& predicate)
{
    return std::any_of(notice.suspects.begin(), notice.suspects.end(), [&](const auto& prompt) {
        return std::any_of(prompt.begin(), prompt.end(), predicate);
    });
}

template <class Notices>
bool was_in_flight(const Notices& notices, std::uint64_t block)
{
    return std::any_of(notices.begin(), notices.end(), [block](const auto& entry) {
        return any_block(*entry.second, [block](std::uint64_t other) { return other == block; });
    });
}
} // namespace

prompt_quarantine::prompt_quarantine(notice_board& board, const std::string& own_incarnation,
                                     prompt_quarantine_options options)
    : board_{board}
    , reporter_{hash64(own_incarnation)}
    , options_{options}
{
}

void prompt_quarantine::set_instances(std::string own_instance, std::vector<std::string> instances)
{
    own_instance_ = std::move(own_instance);
    instances_ = std::move(instances);
}

void prompt_quarantine::record_crash(std::uint64_t server, std::vector<shared_prompt> suspects,
                                     time_ms at, time_ms now)
{
    for (auto& prompt : suspects) {
        if (prompt.size() > board_.options().max_blocks) {
            // The board drops the last ones, so those without a sound answer come first.
            std::stable_partition(prompt.begin(), prompt.end(), [&](auto block) {
                return !own_sounds(block).contains(block) && !board_.is_clear_of(block, at);
            });
        }
    }
    board_.put(crash_notice{server, reporter_, at, std::move(suspects)}, now);
}

void prompt_quarantine::forget_oldest(sound_times& sounds)
{
    std::vector<time_ms> times;
    times.reserve(sounds.size());
    for (const auto& [block, at] : sounds) {
        times.push_back(at);
    }
    const auto median = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), median, times.end());
    std::erase_if(sounds, [limit = *median](const auto& entry) { return entry.second <= limit; });
}

void prompt_quarantine::record_sound(const shared_prompt& prompt, time_ms began, time_ms now)
{
    for (const auto block : prompt) {
        auto& sounds = own_sounds(block);
        if (sounds.size() >= options_.max_tracked_blocks) {
            forget_oldest(sounds);
        }
        auto& last = sounds[block];
        last = std::max(last, began);
    }
    if (board_.empty()) {
        return;
    }
    for (const auto block : prompt) {
        publish_sound(block, now);
    }
}

void prompt_quarantine::publish_sound(std::uint64_t block, time_ms now)
{
    const auto& sounds = own_sounds(block);
    const auto own = sounds.find(block);
    if (own == sounds.end() || own->second <= board_.last_sound(block).value_or(time_ms{0})) {
        return;
    }
    const auto quarantine = board_.quarantines().find(block);
    const auto crashed_at = board_.last_crash_with(block);
    const bool is_counted =
        (quarantine != board_.quarantines().end() && board_.is_in_force(quarantine->second)) ||
        (crashed_at && !board_.is_clear_of(block, *crashed_at));
    if (is_counted) {
        board_.put(sound_notice{block, own->second}, now);
    }
}

void prompt_quarantine::answer(const crash_notice& crash, time_ms now)
{
    for (const auto& prompt : crash.suspects) {
        for (const auto block : prompt) {
            publish_sound(block, now);
        }
    }
}

// Merges what the instances report of a crash, and crashes at the same moment, in order of time.
std::vector<prompt_quarantine::crash_event> prompt_quarantine::settled_crashes(time_ms now) const
{
    std::vector<crash_event> crashes;
    std::optional<std::uint64_t> server;
    for (const auto& [key, notice] : board_.crashes()) {
        if (server != notice.server) {
            server = notice.server;
            crashes.push_back({notice.at, 1, {}});
        }
        crashes.back().at = std::min(crashes.back().at, notice.at);
        crashes.back().notices.emplace_back(0, &notice);
    }
    std::erase_if(crashes,
                  [&](const auto& crash) { return now - crash.at < options_.settling_time; });
    std::sort(crashes.begin(), crashes.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    std::vector<crash_event> events;
    for (auto& crash : crashes) {
        if (events.empty() || crash.at - events.back().at > options_.coincidence) {
            events.push_back(std::move(crash));
            continue;
        }
        auto& event = events.back();
        for (const auto& [index, notice] : crash.notices) {
            event.notices.emplace_back(event.servers, notice);
        }
        ++event.servers;
    }
    return events;
}

const quarantine_notice* prompt_quarantine::past_quarantine(std::uint64_t block) const
{
    const auto found = board_.quarantines().find(block);
    return found == board_.quarantines().end() || board_.is_in_force(found->second)
               ? nullptr
               : &found->second;
}

bool prompt_quarantine::has_quarantined_block(const crash_event& event) const
{
    if (board_.quarantines().empty()) {
        return false;
    }
    return std::any_of(event.notices.begin(), event.notices.end(), [&](const auto& entry) {
        return any_block(*entry.second, [&](std::uint64_t block) {
            const auto found = board_.quarantines().find(block);
            return found != board_.quarantines().end() && board_.is_in_force(found->second);
        });
    });
}

std::set<std::uint64_t> prompt_quarantine::suspects_of(const crash_event& event) const
{
    std::map<std::uint64_t, std::set<std::size_t>> servers_with;
    for (const auto& [server, notice] : event.notices) {
        for (const auto& prompt : notice->suspects) {
            for (const auto block : prompt) {
                servers_with[block].insert(server);
            }
        }
    }
    std::set<std::uint64_t> suspects;
    for (const auto& [block, servers] : servers_with) {
        if (servers.size() == event.servers && !board_.is_clear_of(block, event.at)) {
            suspects.insert(block);
        }
    }
    return suspects;
}

prompt_quarantine::evidence_map
prompt_quarantine::evidence_against(const std::set<std::uint64_t>& blocks,
                                    const std::vector<crash_event>& events) const
{
    evidence_map evidence;
    for (std::size_t i = 0; i < events.size(); ++i) {
        const auto& event = events[i];
        const bool has_any =
            std::any_of(event.notices.begin(), event.notices.end(), [&](const auto& entry) {
                return any_block(*entry.second,
                                 [&](std::uint64_t block) { return blocks.contains(block); });
            });
        if (!has_any) {
            continue;
        }
        for (const auto block : suspects_of(event)) {
            if (blocks.contains(block)) {
                evidence[block].insert(i);
            }
        }
    }
    return evidence;
}

std::size_t prompt_quarantine::weight_of(const event_set& explained,
                                         const std::vector<crash_event>& events) const
{
    return std::accumulate(explained.begin(), explained.end(), std::size_t{0},
                           [&](std::size_t sum, std::size_t i) {
                               return sum + std::min(events[i].servers, options_.coincident_weight);
                           });
}

// A crash after the end of a quarantine shows that the block still crashes servers.
void prompt_quarantine::extend_quarantines(const std::vector<crash_event>& events,
                                           std::vector<quarantine_notice>& added, time_ms now)
{
    std::vector<quarantine_notice> extended;
    for (const auto& entry : board_.quarantines()) {
        const auto& quarantine = entry.second;
        const auto block = quarantine.block;
        if (!board_.is_in_force(quarantine)) {
            continue;
        }
        std::optional<time_ms> crashed_at;
        for (const auto& event : events) {
            if (event.at < board_.end_of(quarantine) || !was_in_flight(event.notices, block)) {
                continue;
            }
            const bool has_other_cause = std::any_of(
                board_.quarantines().begin(), board_.quarantines().end(), [&](const auto& other) {
                    return other.first != block && event.at < board_.end_of(other.second) &&
                           was_in_flight(event.notices, other.first);
                });
            if (!has_other_cause) {
                crashed_at = std::max(crashed_at.value_or(event.at), event.at);
            }
        }
        if (crashed_at) {
            extended.push_back({block, *crashed_at, next_level(quarantine)});
        }
    }
    for (const auto& quarantine : extended) {
        if (board_.put(quarantine, now)) {
            added.push_back(quarantine);
        }
    }
}

std::vector<std::uint64_t>
prompt_quarantine::blocks_always_with(std::uint64_t block, const event_set& explained,
                                      const std::vector<crash_event>& events) const
{
    std::optional<std::set<std::uint64_t>> common;
    for (const auto i : explained) {
        for (const auto& [server, notice] : events[i].notices) {
            for (const auto& prompt : notice->suspects) {
                if (!contains(prompt, block)) {
                    continue;
                }
                if (!common) {
                    common.emplace(prompt.begin(), prompt.end());
                } else {
                    std::erase_if(*common,
                                  [&](std::uint64_t other) { return !contains(prompt, other); });
                }
            }
        }
    }
    return common ? std::vector(common->begin(), common->end()) : std::vector<std::uint64_t>{};
}

prompt_quarantine::rivals prompt_quarantine::rivals_of(const event_set& explained,
                                                       const std::vector<std::uint64_t>& cause,
                                                       const std::vector<crash_event>& events) const
{
    event_set unexplained;
    std::set<std::uint64_t> blocks;
    for (auto i = *explained.begin(); i <= *explained.rbegin(); ++i) {
        if (!explained.contains(i)) {
            unexplained.insert(i);
        }
        blocks.merge(suspects_of(events[i]));
    }
    for (const auto block : cause) {
        blocks.erase(block);
    }
    const auto evidence = evidence_against(blocks, events);
    const auto in_both = [](const event_set& a, const event_set& b) {
        event_set common;
        std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                              std::inserter(common, common.end()));
        return common;
    };
    // A second block may be at fault at the same time. It meets the first by chance only, and
    // explains nearly all that the first does not.
    const auto is_second_cause = [&](const event_set& with_it) {
        const auto apart = in_both(with_it, unexplained);
        return weight_of(apart, events) >= options_.min_recurring &&
               apart.size() * 4 >= unexplained.size() * 3 &&
               in_both(with_it, explained).size() * 4 <= explained.size();
    };
    rivals found;
    event_set by_second;
    for (const auto& [block, with_it] : evidence) {
        if (is_second_cause(with_it)) {
            by_second.insert(with_it.begin(), with_it.end());
        } else {
            found.most_evidence = std::max(found.most_evidence, weight_of(with_it, events));
        }
    }
    for (const auto i : unexplained) {
        if (!by_second.contains(i)) {
            found.unexplained += 1;
            // A common cause shows that the servers or their hosts are at fault.
            found.common_causes += events[i].servers >= options_.min_common_crashes ? 1 : 0;
        }
    }
    return found;
}

std::size_t prompt_quarantine::first_base(std::uint64_t block) const
{
    return is_request_identity(block) ? options_.min_crashes_of_request : options_.min_crashes;
}

std::vector<std::uint64_t> prompt_quarantine::find_cause(const std::vector<crash_event>& events,
                                                         time_ms now) const
{
    // Only a recent crash completes the evidence.
    std::set<std::uint64_t> recent;
    for (const auto& event : events) {
        if (now - event.at <= options_.max_crash_age) {
            recent.merge(suspects_of(event));
        }
    }
    const auto evidence = evidence_against(recent, events);
    std::vector<std::pair<std::size_t, std::uint64_t>> candidates;
    for (const auto& [block, explained] : evidence) {
        const auto weight = weight_of(explained, events);
        if (weight >= std::min(first_base(block), options_.min_crashes_again)) {
            candidates.emplace_back(weight, block);
        }
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>{});
    for (const auto& [weight, block] : candidates) {
        // What has crashed servers before needs less evidence, so that a fault that comes back is
        // seen soon.
        const bool is_known = past_quarantine(block) != nullptr;
        if (weight < (is_known ? options_.min_crashes_again : first_base(block))) {
            continue;
        }
        const auto& explained = evidence.at(block);
        std::vector<std::uint64_t> cause;
        for (const auto companion : blocks_always_with(block, explained, events)) {
            const auto found = evidence.find(companion);
            if (found != evidence.end() && found->second == explained) {
                cause.push_back(companion);
            }
        }
        const bool was_sound = std::any_of(cause.begin(), cause.end(), [this](auto companion) {
            return board_.last_sound(companion).has_value();
        });
        // Many requests share a block, so one that is sound with some proves little by a crash with
        // others; a request is the same each time.
        const auto base = is_known                                   ? options_.min_crashes_again
                          : was_sound && !is_request_identity(block) ? options_.min_crashes_if_sound
                                                                     : first_base(block);
        const auto others = rivals_of(explained, cause, events);
        const std::size_t margin = is_known ? 1 : options_.min_margin;
        const auto needed = std::max(base + others.unexplained / 2 + others.common_causes,
                                     others.most_evidence + margin);
        // Where servers crash for other reasons, too, several at one moment prove no more than one,
        // and the least evidence has to wait for what other instances know.
        const bool is_clear = others.unexplained == 0;
        const auto counted = is_clear ? weight : explained.size();
        const bool may_lack_news = !is_clear && counted == needed &&
                                   now - events[*explained.rbegin()].at < options_.doubt_time;
        if (counted >= needed && !may_lack_news) {
            // Other requests may have the blocks of this one.
            return is_request_identity(block) ? std::vector{block} : cause;
        }
    }
    return {};
}

std::vector<quarantine_notice> prompt_quarantine::evaluate(time_ms now)
{
    board_.expire(now);
    std::vector<quarantine_notice> added;
    if (!last_evaluation_ || now - *last_evaluation_ > options_.catch_up_time) {
        blames_from_ = now + options_.catch_up_time;
    }
    last_evaluation_ = now;
    if (now < blames_from_ || evaluated_digest_ == board_.digest()) {
        return added;
    }
    auto events = settled_crashes(now);
    extend_quarantines(events, added, now);
    while (true) {
        std::erase_if(events, [&](const auto& event) { return has_quarantined_block(event); });
        bool is_new = false;
        for (const auto block : find_cause(events, now)) {
            const auto* const past = past_quarantine(block);
            const auto last = std::find_if(events.rbegin(), events.rend(), [&](const auto& event) {
                return suspects_of(event).contains(block);
            });
            const quarantine_notice quarantine{block, last->at,
                                               past == nullptr ? 0 : next_level(*past)};
            if (board_.put(quarantine, now)) {
                added.push_back(quarantine);
                is_new = true;
            }
        }
        if (!is_new) {
            break;
        }
    }
    const auto newest = board_.newest_crash();
    evaluated_digest_ =
        newest && now - *newest < std::max(options_.settling_time, options_.doubt_time)
            ? std::nullopt
            : std::optional{board_.digest()};
    return added;
}

bool prompt_quarantine::awaits_evaluation(time_ms now) const
{
    const auto newest = board_.newest_crash();
    return newest && now - *newest < board_.options().min_crash_time;
}

// All instances know whose turn it is, so that a block that many request at once is tried once. The
// turn is for all blocks, as a prompt may have several in quarantine.
bool prompt_quarantine::may_try(time_ms now) const
{
    if (std::find(instances_.begin(), instances_.end(), own_instance_) == instances_.end()) {
        return false;
    }
    const auto slot = hash64(std::to_string(now.count() / options_.trial_slot.count()));
    const auto own_weight = hash64(own_instance_, slot);
    return std::all_of(instances_.begin(), instances_.end(), [&](const auto& instance) {
        return instance == own_instance_ || hash64(instance, slot) < own_weight;
    });
}

prompt_admission prompt_quarantine::check(const shared_prompt& prompt, time_ms now) const
{
    prompt_admission admission;
    if (board_.quarantines().empty()) {
        return admission;
    }
    for (const auto block : prompt) {
        const auto found = board_.quarantines().find(block);
        if (found == board_.quarantines().end()) {
            continue;
        }
        const auto& quarantine = found->second;
        if (!board_.is_in_force(quarantine)) {
            continue;
        }
        const auto end = board_.end_of(quarantine);
        if (now >= end && may_try(now)) {
            admission.is_trial = true;
            admission.block = block;
            continue;
        }
        return {false, false, block, std::max(end - now, options_.trial_slot)};
    }
    return admission;
}

prompt_admission prompt_quarantine::admit(const shared_prompt& prompt, time_ms now)
{
    const auto admission = check(prompt, now);
    if (admission.is_admitted && admission.is_trial) {
        for (const auto block : prompt) {
            const auto found = board_.quarantines().find(block);
            if (found != board_.quarantines().end() && board_.is_in_force(found->second)) {
                board_.put(
                    quarantine_notice{block, now - max_clock_step, next_level(found->second)}, now);
            }
        }
    }
    return admission;
}

} // namespace jujubevalve
