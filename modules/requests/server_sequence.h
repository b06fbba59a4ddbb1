#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Identifies a request at a backend server: `<incarnation>.<server>.<n>`.
struct backend_key {
    std::string incarnation; ///< contains no dots
    std::string server;
    std::int64_t n{0}; ///< sequence number, from 1, see server_sequence

    [[nodiscard]] std::string to_text() const;

    /// Parses the text form. Returns nullopt if it is malformed.
    static std::optional<backend_key> parse(std::string_view text);

    friend auto operator<=>(const backend_key&, const backend_key&) = default;
};

/// Max number of unsettled requests of one incarnation to one server. Recovery stops searching for
/// requests after this many consecutive numbers that the server doesn't know.
inline constexpr std::size_t sequence_window = 64;

/// State of a server_sequence, written into a settlement segment.
struct sequence_snapshot {
    std::int64_t next{1}; ///< no number from here on has been taken
    /// Lower numbers that are outstanding or reusable, in ascending order. Reusable numbers also go
    /// into the segment's list of open requests (with reservation 0), because they can be taken
    /// again after the segment is written.
    std::vector<std::int64_t> unsettled;

    friend bool operator==(const sequence_snapshot&, const sequence_snapshot&) = default;
};

/// Allocates the numbers of this incarnation's requests to one server. Invariant: between the
/// settled numbers of the last snapshot and any used number there are never `sequence_window`
/// consecutive unused numbers, so recovery does not stop before the last used one. It holds because
/// a new number is taken only if no lower one is reusable and fewer than `sequence_window` are
/// outstanding. Not thread-safe.
class server_sequence
{
public:
    /// Takes the lowest available number. Returns nullopt while `sequence_window` numbers are
    /// outstanding.
    [[nodiscard]] std::optional<std::int64_t> take();

    /// Records that the server knows the number: it has answered the request or replied to its
    /// cancellation. A number whose delivery is uncertain stays outstanding until then.
    void settled(std::int64_t n);

    /// Records that the number certainly did not reach the server. It is reused.
    void not_delivered(std::int64_t n);

    [[nodiscard]] std::size_t outstanding() const { return outstanding_.size(); }
    [[nodiscard]] sequence_snapshot snapshot() const;

private:
    std::int64_t next_{1};
    std::set<std::int64_t> outstanding_;
    std::set<std::int64_t> reusable_;
};

} // namespace jujubevalve
