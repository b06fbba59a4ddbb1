#pragma once

#include "core/time_ms.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace jujubevalve
{

/// Identifies one incarnation of a server among all instances.
std::uint64_t server_key(std::string_view id, std::int64_t incarnation);

/// What one request has in common with others: its request_identity, if others of it may come, and
/// the ids of the prompt blocks that others may share.
using shared_prompt = std::vector<std::uint64_t>;

/// What one instance saw of a server's crash.
struct crash_notice {
    std::uint64_t server{0};   ///< server_key
    std::uint64_t reporter{0}; ///< hash of the instance's incarnation
    time_ms at{};
    std::vector<shared_prompt> suspects; ///< of the requests in flight there; sorted, unique

    friend bool operator==(const crash_notice&, const crash_notice&) = default;
};

/// The latest answer to a request with a prompt block that got under way. Published only for blocks
/// that were in flight at a crash.
struct sound_notice {
    std::uint64_t block{0};
    time_ms at{}; ///< when its first event arrived

    friend bool operator==(const sound_notice&, const sound_notice&) = default;
};

/// Longer quarantines than those of this level are never made.
inline constexpr std::int64_t max_quarantine_level = 64;

/// A prompt block that no request may carry to a server for a while.
struct quarantine_notice {
    std::uint64_t block{0};
    time_ms since{};
    std::int64_t level{0}; ///< number of quarantines right before this one

    friend bool operator==(const quarantine_notice&, const quarantine_notice&) = default;
};

/// The rate that a server takes from all instances together, as it named it last.
struct limit_notice {
    std::uint64_t server{0}; ///< server_key
    time_ms at{};
    std::optional<std::int64_t> per_1000_s; ///< requests in 1000 s; nothing: it names none any more

    friend bool operator==(const limit_notice&, const limit_notice&) = default;
};

/// Chooses `count` of the other instances to pass notices on to. The choices of all instances make
/// a graph in which every one is reached: each passes them on to its successor in a ring.
std::vector<std::string> choose_notice_peers(const std::string& own,
                                             const std::vector<std::string>& instances,
                                             std::size_t count);

using fleet_notice = std::variant<crash_notice, sound_notice, quarantine_notice, limit_notice>;

/// Settings of a notice_board, in the store's time. Evidence lasts until a later event shows that
/// it no longer holds; the times are only the least that it is kept for.
struct notice_board_options {
    time_ms min_crash_time{30'000}; ///< then until all its blocks have had sound answers
    time_ms min_sound_time{60'000}; ///< then as long as a crash or a quarantine has its block
    /// After this time a crash no longer counts for requests, most of which never come again.
    time_ms request_memory{300'000};
    /// A crash does not count for a block with a sound answer later than this time before it,
    /// unless the block has been in quarantine.
    time_ms sound_grace{2000};
    time_ms quarantine_time{30'000};   ///< at level 0; grows with each level
    std::int64_t quarantine_growth{4}; ///< factor of each level
    time_ms max_quarantine_time{3'600'000};
    time_ms quarantine_memory{300'000}; ///< after a sound answer has ended it
    /// A stamp may lie this far ahead of the store's time, which each instance only estimates.
    time_ms max_clock_error{2000};
    std::size_t max_notices{2048};           ///< of each kind but sound answers
    std::size_t max_sounds{1U << 13U};       ///< each block of a crash may have one
    std::size_t max_suspects{128};           ///< prompts of a crash notice
    std::size_t max_blocks{400};             ///< of a prompt in it, so that a message holds it
    std::size_t max_crash_blocks{1U << 16U}; ///< of all crash notices; a connection buffers them
};

/// The notices that all instances share. Notices may arrive in any order and more than once: boards
/// that have received the same notices hold the same content. Stamps are in the store's time.
/// A board that is full forgets first what a sound answer has refuted, then what is oldest.
class notice_board
{
public:
    using crash_key = std::pair<std::uint64_t, std::uint64_t>; ///< server, reporter

    explicit notice_board(notice_board_options options = {});

    /// Called when a notice was added or changed.
    std::function<void(const fleet_notice&)> on_news;

    /// Called when something that was learned exceeds a limit and is dropped; `what` names the
    /// limit, `count` how many blocks, prompts or notices.
    std::function<void(std::string_view what, std::size_t count)> on_dropped;

    [[nodiscard]] const notice_board_options& options() const { return options_; }

    /// Adds a notice. Returns whether it changed the board. Ignores notices that have expired and
    /// those with a stamp in the future.
    bool put(const fleet_notice& notice, time_ms now);

    /// Removes notices that have expired.
    void expire(time_ms now);

    [[nodiscard]] const std::map<crash_key, crash_notice>& crashes() const { return crashes_; }

    /// Returns when the latest crash was.
    [[nodiscard]] std::optional<time_ms> newest_crash() const;

    /// Returns when the latest crash was that had a block in flight.
    [[nodiscard]] std::optional<time_ms> last_crash_with(std::uint64_t block) const;

    [[nodiscard]] const std::map<std::uint64_t, sound_notice>& sounds() const { return sounds_; }
    [[nodiscard]] const std::map<std::uint64_t, quarantine_notice>& quarantines() const
    {
        return quarantines_;
    }

    [[nodiscard]] const std::map<std::uint64_t, limit_notice>& limits() const { return limits_; }

    /// Returns when a quarantine allows a trial. It stays in force until a sound answer ends it.
    [[nodiscard]] time_ms end_of(const quarantine_notice& quarantine) const;

    /// Returns whether no sound answer to the block has begun since the quarantine did.
    [[nodiscard]] bool is_in_force(const quarantine_notice& quarantine) const;

    /// Returns whether a sound answer shows that the block did not cause a crash.
    [[nodiscard]] bool is_clear_of(std::uint64_t block, time_ms crashed_at) const;

    /// Returns the time of the last sound answer to a block.
    [[nodiscard]] std::optional<time_ms> last_sound(std::uint64_t block) const;

    [[nodiscard]] std::vector<fleet_notice> all() const { return all_since(time_ms{}); }

    /// Returns all notices without the crashes and the sound answers of before.
    [[nodiscard]] std::vector<fleet_notice> all_since(time_ms oldest) const;

    [[nodiscard]] bool empty() const;

    /// Returns a number that differs between boards with different content; 0 if empty.
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

private:
    /// The crash notices that have a block.
    struct crash_record {
        std::size_t notices{0};
        time_ms last{};
    };

    void report_dropped(std::string_view what, std::size_t count) const;
    /// Evicts notices beyond the limits.
    template <class Map>
    void limit_size(Map& notices, std::size_t max_size);
    void limit_crash_blocks();
    /// Puts a notice in the place of the one with the same key, if any.
    template <class Map, class Notice>
    void replace(Map& notices, const typename Map::key_type& key, Notice notice);
    template <class Map>
    typename Map::iterator remove(Map& notices, typename Map::iterator entry);
    template <class Map>
    void remove_expired(Map& notices, time_ms now);
    void index(const crash_notice& notice);
    void remove_from_index(const crash_notice& notice);
    bool merge(const crash_notice& notice);
    bool merge(const sound_notice& notice);
    bool merge(const quarantine_notice& notice);
    bool merge(const limit_notice& notice);
    [[nodiscard]] time_ms duration_of(const quarantine_notice& quarantine) const;
    /// Returns whether later notices have taken away all that a notice shows.
    [[nodiscard]] bool is_refuted(const crash_notice& notice) const;
    [[nodiscard]] bool is_refuted(const sound_notice& notice) const;
    [[nodiscard]] bool is_refuted(const quarantine_notice& notice) const;
    [[nodiscard]] static bool is_refuted(const limit_notice& notice);
    [[nodiscard]] bool has_expired(const crash_notice& notice, time_ms now) const;
    [[nodiscard]] bool has_expired(const sound_notice& notice, time_ms now) const;
    [[nodiscard]] bool has_expired(const quarantine_notice& notice, time_ms now) const;
    [[nodiscard]] static bool has_expired(const limit_notice& notice, time_ms now);

    notice_board_options options_;
    std::map<crash_key, crash_notice> crashes_;
    std::unordered_map<std::uint64_t, crash_record> crash_index_; ///< by block
    std::size_t crash_blocks_{0};                                 ///< of all crash notices
    std::map<std::uint64_t, sound_notice> sounds_;
    std::map<std::uint64_t, limit_notice> limits_;
    std::map<std::uint64_t, quarantine_notice> quarantines_; ///< kept after their end, see level
    std::uint64_t digest_{0};                                ///< sum of the hashes of all notices
};

} // namespace jujubevalve
