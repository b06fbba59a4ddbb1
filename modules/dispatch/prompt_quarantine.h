#pragma once

#include "dispatch/fleet_notices.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubevalve
{

/// Settings of a prompt_quarantine.
struct prompt_quarantine_options {
    /// Crashes that a block must explain, and one more for every two others among them.
    std::size_t min_crashes{4};
    /// The same for a block that has had sound answers lately.
    std::size_t min_crashes_if_sound{6};
    /// The same for a block whose quarantine has ended lately.
    std::size_t min_crashes_again{2};
    /// A block must explain this many crashes more than any other that is not always with it.
    std::size_t min_margin{2};
    /// A crash does not count for a block with a sound answer later than this time before it.
    time_ms sound_grace{2000};
    /// Servers that crash within this time have a common cause, which no request is.
    time_ms coincidence{15};
    /// This many servers at one moment also raise the number that a block must explain by one.
    std::size_t min_common_crashes{3};
    /// Age from which on a crash counts, so that all instances' notices of it have arrived.
    time_ms settling_time{400};
    /// A crash that is older cannot complete the evidence against a block.
    time_ms max_crash_age{5000};
    /// After a pause of more than this, no block is blamed for as long: an instance that was frozen
    /// first has to hear what the others know.
    time_ms catch_up_time{1000};
    /// Time for the outcome of a trial.
    time_ms trial_slot{3000};
    std::size_t max_tracked_blocks{4096};
};

/// Whether a request may be sent.
struct prompt_admission {
    bool is_admitted{true};
    bool is_trial{false};   ///< the request tries out a block whose quarantine is over
    std::uint64_t block{0}; ///< that is in quarantine, or tried out
    time_ms retry_after{};  ///< if not admitted

    friend bool operator==(const prompt_admission&, const prompt_admission&) = default;
};

/// Finds the shared prompt block that makes servers crash, from the notices of all instances, and
/// keeps requests with it from the servers. A block is blamed for the crashes that had it in flight
/// and that came after its last sound answer, if they are clearly more than those of other blocks.
/// Requests that were merely at the same server are thus not blamed, and neither is a block that
/// sound requests share. After the quarantine a few instances try one request each; a sound answer
/// ends it, another crash doubles its time.
class prompt_quarantine
{
public:
    prompt_quarantine(notice_board& board, const std::string& own_incarnation,
                      prompt_quarantine_options options = {});

    /// Sets the instances that get requests, for the order of trials.
    void set_instances(std::string own_instance, std::vector<std::string> instances);

    /// Records a crash that this instance saw, with the prompts that were in flight.
    void record_crash(std::uint64_t server, std::vector<shared_prompt> suspects, time_ms at,
                      time_ms now);

    /// Records that the answer to a request with this prompt began at `began` and got under way.
    void record_sound(const shared_prompt& prompt, time_ms began, time_ms now);

    /// Tells the other instances of sound answers to the prompts in flight at a crash, if nobody
    /// else has. Call it after a random delay, so that not all instances tell the same.
    void answer(const crash_notice& crash, time_ms now);

    /// Puts blocks into quarantine that explain the crashes. Returns the new quarantines.
    std::vector<quarantine_notice> evaluate(time_ms now);

    /// Returns whether a request with this prompt may be sent now.
    [[nodiscard]] prompt_admission check(const shared_prompt& prompt, time_ms now) const;

    /// The same; uses up the trial, if it is one.
    [[nodiscard]] prompt_admission admit(const shared_prompt& prompt, time_ms now);

private:
    /// One crash as all instances saw it.
    struct crash {
        time_ms at{};
        std::set<shared_prompt> prompts;
        std::size_t servers{1}; ///< that crashed at the same moment
    };
    /// The crashes that count against a block, by their index.
    using evidence_map = std::map<std::uint64_t, std::set<std::size_t>>;

    /// Forgets the older half of the sound answers here.
    void forget_oldest_sounds();
    /// Publishes the last sound answer here if a crash counts against the block without it.
    void publish_sound(std::uint64_t block, time_ms now);
    /// Returns whether a sound answer shows that the block did not cause a crash.
    [[nodiscard]] bool is_clear_of(std::uint64_t block, time_ms crashed_at, time_ms now) const;
    [[nodiscard]] std::optional<time_ms> last_sound(std::uint64_t block) const;
    [[nodiscard]] std::vector<crash> settled_crashes(time_ms now) const;
    /// Returns whether the quarantine has not lapsed, and no sound answer has shown since that it
    /// is wrong or over.
    [[nodiscard]] bool is_in_force(const quarantine_notice& quarantine, time_ms now) const;
    /// Returns the quarantine of a block that is no longer in force but remembered; null if none
    /// is.
    [[nodiscard]] const quarantine_notice* past_quarantine(std::uint64_t block, time_ms now) const;
    [[nodiscard]] bool has_quarantined_block(const crash& merged, time_ms now) const;
    [[nodiscard]] evidence_map evidence_in(const std::vector<crash>& crashes, time_ms now) const;
    void extend_quarantines(const std::vector<crash>& crashes, time_ms now,
                            std::vector<quarantine_notice>& added);
    /// Returns the blocks to blame: one, or several that no crash tells apart.
    [[nodiscard]] std::vector<std::uint64_t>
    find_cause(const std::vector<crash>& crashes, const evidence_map& evidence, time_ms now) const;
    [[nodiscard]] bool may_try(const quarantine_notice& quarantine, time_ms now) const;

    notice_board& board_;
    std::uint64_t reporter_;
    prompt_quarantine_options options_;
    std::string own_instance_;
    std::vector<std::string> instances_;
    std::unordered_map<std::uint64_t, time_ms> own_sounds_; ///< last sound answer here, by block
    std::optional<time_ms> last_evaluation_;
    time_ms blames_from_{};
    std::map<std::uint64_t, time_ms> tried_; ///< start of the quarantine, by block
};

} // namespace jujubevalve
