#pragma once

#include "dispatch/fleet_notices.h"
#include "dispatch/request_identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// Settings of a prompt_quarantine.
struct prompt_quarantine_options {
    /// Crashes that a block must explain, and one more for every two others among them.
    std::size_t min_crashes{4};
    /// The same for a request that comes again, which others do not share.
    std::size_t min_crashes_of_request{3};
    /// The same for a block that has had sound answers lately.
    std::size_t min_crashes_if_sound{6};
    /// The same for a block whose quarantine has ended lately.
    std::size_t min_crashes_again{2};
    /// A block must explain this many crashes more than any other that is not always with it.
    std::size_t min_margin{2};
    /// Crashes that show that a second block is at fault at the same time, beside the first.
    std::size_t min_recurring{3};
    /// Servers that crash within this time may have a common cause: they count only for blocks that
    /// were in flight at each of them.
    time_ms coincidence{15};
    std::size_t coincident_weight{2}; ///< largest of several crashes at one moment
    /// So many servers at one moment raise what other blocks must explain by one.
    std::size_t min_common_crashes{3};
    /// Age from which on a crash counts, so that all instances' notices of it have arrived.
    time_ms settling_time{400};
    /// The same for evidence that other crashes weaken, so that a notice which was lost has been
    /// sent again.
    time_ms doubt_time{1500};
    /// A crash that is older cannot complete the evidence against a block.
    time_ms max_crash_age{5000};
    /// After a pause of more than this, no block is blamed for as long: an instance that was frozen
    /// first has to hear what the others know.
    time_ms catch_up_time{1000};
    /// One instance may try a block for this time, then the next.
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

/// Finds the shared prompt block, or the request that comes again, that makes servers crash, from
/// the notices of all instances, and keeps it from the servers. A request counts as one more block.
/// A block is blamed for the crashes that had it in flight and that came after its last sound
/// answer, if they are clearly more than those of other blocks. Requests that were merely at the
/// same server are thus not blamed, and neither is a block that sound requests share. After its
/// time one instance at a time may try a request, which begins the next quarantine: only a sound
/// answer ends it.
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

    /// The same; if it is a trial, begins the next quarantine, so that no other instance tries the
    /// block before the outcome is known.
    [[nodiscard]] prompt_admission admit(const shared_prompt& prompt, time_ms now);

    /// Returns whether crashes are so recent that evaluate() may find something new.
    [[nodiscard]] bool awaits_evaluation(time_ms now) const;

private:
    /// A crash as all instances saw it, or several at the same moment.
    struct crash_event {
        time_ms at{};
        std::size_t servers{0};
        std::vector<std::pair<std::size_t, const crash_notice*>> notices; ///< with server's index
    };
    /// The events that count against a block, by their index.
    using event_set = std::set<std::size_t>;
    using evidence_map = std::map<std::uint64_t, event_set>;

    /// What speaks against a block as the cause: the events from its first crash to its last.
    struct rivals {
        std::size_t unexplained{0};   ///< without the block and without a second cause
        std::size_t common_causes{0}; ///< those of them that met several servers
        std::size_t most_evidence{0}; ///< against another block, unless it is a second cause
    };

    /// The last sound answers of this instance, by block.
    using sound_times = std::unordered_map<std::uint64_t, time_ms>;

    /// Returns the sound answers to requests or to prompt blocks.
    [[nodiscard]] sound_times& own_sounds(std::uint64_t block)
    {
        return is_request_identity(block) ? own_request_sounds_ : own_sounds_;
    }
    /// Forgets the older half.
    static void forget_oldest(sound_times& sounds);
    /// Publishes the last sound answer here if a crash counts against the block without it.
    void publish_sound(std::uint64_t block, time_ms now);
    [[nodiscard]] std::vector<crash_event> settled_crashes(time_ms now) const;
    /// Returns the quarantine of a block that is no longer in force but remembered; null if none
    /// is.
    [[nodiscard]] const quarantine_notice* past_quarantine(std::uint64_t block) const;
    [[nodiscard]] bool has_quarantined_block(const crash_event& event) const;
    /// Returns the blocks that an event counts against.
    [[nodiscard]] std::set<std::uint64_t> suspects_of(const crash_event& event) const;
    /// Returns the evidence against these blocks in all events.
    [[nodiscard]] evidence_map evidence_against(const std::set<std::uint64_t>& blocks,
                                                const std::vector<crash_event>& events) const;
    [[nodiscard]] std::size_t weight_of(const event_set& explained,
                                        const std::vector<crash_event>& events) const;
    void extend_quarantines(const std::vector<crash_event>& events,
                            std::vector<quarantine_notice>& added, time_ms now);
    /// Returns how many crashes a block must explain that has done so for the first time.
    [[nodiscard]] std::size_t first_base(std::uint64_t block) const;
    /// Returns the blocks to blame: one, or several that no crash tells apart.
    [[nodiscard]] std::vector<std::uint64_t> find_cause(const std::vector<crash_event>& events,
                                                        time_ms now) const;
    [[nodiscard]] std::vector<std::uint64_t>
    blocks_always_with(std::uint64_t block, const event_set& explained,
                       const std::vector<crash_event>& events) const;
    [[nodiscard]] rivals rivals_of(const event_set& explained,
                                   const std::vector<std::uint64_t>& cause,
                                   const std::vector<crash_event>& events) const;
    /// Returns whether it is this instance's turn to try blocks whose quarantine allows it.
    [[nodiscard]] bool may_try(time_ms now) const;

    notice_board& board_;
    std::uint64_t reporter_;
    prompt_quarantine_options options_;
    std::string own_instance_;
    std::vector<std::string> instances_;
    sound_times own_sounds_;         ///< to prompt blocks
    sound_times own_request_sounds_; ///< most requests come once; kept apart, they evict no blocks
    std::optional<time_ms> last_evaluation_;
    time_ms blames_from_{};
    std::optional<std::uint64_t> evaluated_digest_; ///< of the board, when nothing was left to find
};

} // namespace jujubevalve
