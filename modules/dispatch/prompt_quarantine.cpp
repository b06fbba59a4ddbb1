#include "dispatch/prompt_quarantine.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
bool contains(const shared_prompt& prompt, std::uint64_t block)
{
    return std::find(prompt.begin(), prompt.end(), block) != prompt.end();
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
                return !own_sounds_.contains(block) && !is_clear_of(block, at, now);
            });
        }
    }
    board_.put(crash_notice{server, reporter_, at, std::move(suspects)}, now);
}

void prompt_quarantine::forget_oldest_sounds()
{
    std::vector<time_ms> times;
    times.reserve(own_sounds_.size());
    for (const auto& [block, at] : own_sounds_) {
        times.push_back(at);
    }
    const auto median = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), median, times.end());
    std::erase_if(own_sounds_,
                  [limit = *median](const auto& entry) { return entry.second <= limit; });
}

void prompt_quarantine::record_sound(const shared_prompt& prompt, time_ms began, time_ms now)
{
    if (own_sounds_.size() >= options_.max_tracked_blocks) {
        forget_oldest_sounds();
    }
    for (const auto block : prompt) {
        auto& last = own_sounds_[block];
        last = std::max(last, began);
    }
    if (board_.empty()) {
        return;
    }
    for (const auto block : prompt) {
        publish_sound(block, now);
    }
}

bool prompt_quarantine::is_clear_of(std::uint64_t block, time_ms crashed_at, time_ms now) const
{
    const auto sound = last_sound(block);
    const auto grace = past_quarantine(block, now) == nullptr ? options_.sound_grace : time_ms{0};
    return sound && *sound > crashed_at - grace;
}

void prompt_quarantine::publish_sound(std::uint64_t block, time_ms now)
{
    const auto own = own_sounds_.find(block);
    if (own == own_sounds_.end() || own->second <= last_sound(block).value_or(time_ms{0})) {
        return;
    }
    const auto quarantine = board_.quarantines().find(block);
    const auto crashed_at = board_.last_crash_with(block);
    const bool is_counted =
        (quarantine != board_.quarantines().end() && is_in_force(quarantine->second, now)) ||
        (crashed_at && !is_clear_of(block, *crashed_at, now));
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

std::optional<time_ms> prompt_quarantine::last_sound(std::uint64_t block) const
{
    const auto found = board_.sounds().find(block);
    return found == board_.sounds().end() ? std::nullopt : std::optional{found->second.at};
}

// Merges what the instances report of a crash, and crashes at the same moment, in order of time.
std::vector<prompt_quarantine::crash> prompt_quarantine::settled_crashes(time_ms now) const
{
    std::map<std::uint64_t, crash> by_server;
    for (const auto& [key, notice] : board_.crashes()) {
        auto& merged = by_server.try_emplace(notice.server, crash{notice.at, {}, 1}).first->second;
        merged.at = std::min(merged.at, notice.at);
        merged.prompts.insert(notice.suspects.begin(), notice.suspects.end());
    }
    std::vector<crash> crashes;
    for (auto& [server, merged] : by_server) {
        if (now - merged.at >= options_.settling_time) {
            crashes.push_back(std::move(merged));
        }
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    std::vector<crash> distinct;
    for (auto& merged : crashes) {
        if (!distinct.empty() && merged.at - distinct.back().at <= options_.coincidence) {
            distinct.back().prompts.merge(merged.prompts);
            ++distinct.back().servers;
        } else {
            distinct.push_back(std::move(merged));
        }
    }
    return distinct;
}

bool prompt_quarantine::is_in_force(const quarantine_notice& quarantine, time_ms now) const
{
    const auto sound = last_sound(quarantine.block);
    return now < board_.lapse_of(quarantine) && (!sound || *sound <= quarantine.since);
}

const quarantine_notice* prompt_quarantine::past_quarantine(std::uint64_t block, time_ms now) const
{
    const auto found = board_.quarantines().find(block);
    return found == board_.quarantines().end() || is_in_force(found->second, now) ? nullptr
                                                                                  : &found->second;
}

bool prompt_quarantine::has_quarantined_block(const crash& merged, time_ms now) const
{
    return std::any_of(merged.prompts.begin(), merged.prompts.end(), [&](const auto& prompt) {
        return std::any_of(prompt.begin(), prompt.end(), [&](auto block) {
            const auto found = board_.quarantines().find(block);
            return found != board_.quarantines().end() && is_in_force(found->second, now);
        });
    });
}

prompt_quarantine::evidence_map prompt_quarantine::evidence_in(const std::vector<crash>& crashes,
                                                               time_ms now) const
{
    evidence_map evidence;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        if (crashes[i].servers > 1) {
            continue;
        }
        for (const auto& prompt : crashes[i].prompts) {
            for (const auto block : prompt) {
                if (!is_clear_of(block, crashes[i].at, now)) {
                    evidence[block].insert(i);
                }
            }
        }
    }
    return evidence;
}

// A crash after the end of a quarantine shows that it ended too soon.
void prompt_quarantine::extend_quarantines(const std::vector<crash>& crashes, time_ms now,
                                           std::vector<quarantine_notice>& added)
{
    std::vector<quarantine_notice> extended;
    const auto was_in_flight = [](const crash& merged, std::uint64_t block) {
        return std::any_of(merged.prompts.begin(), merged.prompts.end(),
                           [&](const auto& prompt) { return contains(prompt, block); });
    };
    for (const auto& entry : board_.quarantines()) {
        const auto& quarantine = entry.second;
        const auto block = quarantine.block;
        if (!is_in_force(quarantine, now)) {
            continue;
        }
        std::optional<time_ms> crashed_at;
        for (const auto& merged : crashes) {
            const bool has_other_cause = std::any_of(
                board_.quarantines().begin(), board_.quarantines().end(), [&](const auto& other) {
                    return other.first != block && merged.at < board_.end_of(other.second) &&
                           was_in_flight(merged, other.first);
                });
            if (merged.at >= board_.end_of(quarantine) && was_in_flight(merged, block) &&
                !has_other_cause) {
                crashed_at = std::max(crashed_at.value_or(merged.at), merged.at);
            }
        }
        if (crashed_at) {
            extended.push_back({block, *crashed_at, quarantine.level + 1});
        }
    }
    for (const auto& quarantine : extended) {
        if (board_.put(quarantine, now)) {
            added.push_back(quarantine);
        }
    }
}

std::vector<std::uint64_t> prompt_quarantine::find_cause(const std::vector<crash>& crashes,
                                                         const evidence_map& evidence,
                                                         time_ms now) const
{
    const auto best =
        std::max_element(evidence.begin(), evidence.end(), [](const auto& a, const auto& b) {
            return a.second.size() < b.second.size();
        });
    if (best == evidence.end()) {
        return {};
    }
    const auto& explained = best->second;
    const auto is_always_with_best = [&](std::uint64_t block) {
        return std::all_of(explained.begin(), explained.end(), [&](std::size_t i) {
            return std::any_of(crashes[i].prompts.begin(), crashes[i].prompts.end(),
                               [&](const auto& prompt) {
                                   return contains(prompt, best->first) && contains(prompt, block);
                               });
        });
    };
    std::vector<std::uint64_t> cause;
    std::size_t most_of_others = 0;
    bool was_sound = false;
    for (const auto& [block, crashes_with_it] : evidence) {
        if (crashes_with_it == explained && is_always_with_best(block)) {
            cause.push_back(block);
            was_sound = was_sound || last_sound(block);
        } else {
            most_of_others = std::max(most_of_others, crashes_with_it.size());
        }
    }
    // What has crashed servers before needs less evidence, so that a fault that comes back is seen
    // soon.
    const bool is_known = past_quarantine(best->first, now) != nullptr;
    const auto base = is_known    ? options_.min_crashes_again
                      : was_sound ? options_.min_crashes_if_sound
                                  : options_.min_crashes;
    const std::size_t margin = is_known ? 1 : options_.min_margin;
    const auto crashes_among_them = *explained.rbegin() - *explained.begin() + 1;
    // Crashes with a common cause show that the servers or their hosts are at fault.
    const auto common_causes = static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(), [this](const auto& merged) {
            return merged.servers >= options_.min_common_crashes;
        }));
    const auto needed = base + (crashes_among_them - explained.size()) / 2 + common_causes;
    return explained.size() >= std::max(needed, most_of_others + margin)
               ? cause
               : std::vector<std::uint64_t>{};
}

std::vector<quarantine_notice> prompt_quarantine::evaluate(time_ms now)
{
    board_.expire(now);
    std::vector<quarantine_notice> added;
    if (!last_evaluation_ || now - *last_evaluation_ > options_.catch_up_time) {
        blames_from_ = now + options_.catch_up_time;
    }
    last_evaluation_ = now;
    if (now < blames_from_) {
        return added;
    }
    auto crashes = settled_crashes(now);
    extend_quarantines(crashes, now, added);
    while (true) {
        std::erase_if(crashes,
                      [&](const auto& merged) { return has_quarantined_block(merged, now); });
        const auto evidence = evidence_in(crashes, now);
        const auto cause = find_cause(crashes, evidence, now);
        bool is_new = false;
        for (const auto block : cause) {
            const auto* const past = past_quarantine(block, now);
            const quarantine_notice quarantine{block, crashes[*evidence.at(block).rbegin()].at,
                                               past == nullptr ? 0 : past->level + 1};
            if (now - quarantine.since <= options_.max_crash_age && board_.put(quarantine, now)) {
                added.push_back(quarantine);
                is_new = true;
            }
        }
        if (!is_new) {
            return added;
        }
    }
}

// The number of instances that may try doubles with each slot: a block that is requested often is
// tried by one or two, and one that is requested rarely is still tried by somebody.
bool prompt_quarantine::may_try(const quarantine_notice& quarantine, time_ms now) const
{
    const auto tried = tried_.find(quarantine.block);
    if (tried != tried_.end() && tried->second == quarantine.since) {
        return false;
    }
    const auto seed = quarantine.block ^ static_cast<std::uint64_t>(quarantine.since.count());
    const auto own_weight = hash64(own_instance_, seed);
    const auto rank =
        std::count_if(instances_.begin(), instances_.end(), [&](const auto& instance) {
            return instance != own_instance_ && hash64(instance, seed) > own_weight;
        });
    constexpr std::int64_t max_doublings = 30;
    const auto slot = std::min(max_doublings, (now - board_.end_of(quarantine)).count() /
                                                  options_.trial_slot.count());
    return rank < (std::int64_t{1} << slot);
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
        if (!is_in_force(quarantine, now)) {
            continue;
        }
        const auto end = board_.end_of(quarantine);
        if (now >= end && may_try(quarantine, now)) {
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
        std::erase_if(tried_, [this](const auto& entry) {
            return !board_.quarantines().contains(entry.first);
        });
        for (const auto block : prompt) {
            if (const auto found = board_.quarantines().find(block);
                found != board_.quarantines().end()) {
                tried_[block] = found->second.since;
            }
        }
    }
    return admission;
}

} // namespace jujubevalve
