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

/// Name of a request at a backend server: `<incarnation>.<server>.<n>`.
struct backend_key {
    std::string incarnation; ///< without dots
    std::string server;
    std::int64_t n{0};

    [[nodiscard]] std::string to_text() const;

    /// Reads the text form; empty if it has another form.
    static std::optional<backend_key> parse(std::string_view text);

    friend auto operator<=>(const backend_key&, const backend_key&) = default;
};

/// Largest number of requests of one incarnation to one server that are not settled, W in the
/// design page. Recovery stops after so many consecutive unknown numbers.
inline constexpr std::size_t sequence_window = 64;

/// State of a sequence for a segment.
struct sequence_snapshot {
    std::int64_t next{1}; ///< no higher number has been taken
    /// Lower numbers that are outstanding or free. Free ones belong into the segment's open list
    /// too (with reservation 0): they can be taken again after the segment was written.
    std::vector<std::int64_t> unsettled;

    friend bool operator==(const sequence_snapshot&, const sequence_snapshot&) = default;
};

/// The numbers of the requests of this incarnation to one server. Invariant: below a used number
/// there are never W consecutive unused ones above the last settled snapshot, because a new number
/// is taken only when no lower one is free and fewer than W are not settled. Not synchronised.
class server_sequence
{
public:
    /// The lowest usable number; empty while W numbers are outstanding.
    [[nodiscard]] std::optional<std::int64_t> take();

    /// The server has shown that it knows the number: by an answer, or by its reply to cancel. A
    /// number whose delivery is uncertain stays outstanding until then.
    void settled(std::int64_t n);

    /// The number certainly did not reach the server and will be reused.
    void not_delivered(std::int64_t n);

    [[nodiscard]] std::size_t outstanding() const { return outstanding_.size(); }
    [[nodiscard]] sequence_snapshot snapshot() const;

private:
    std::int64_t next_{1};
    std::set<std::int64_t> outstanding_;
    std::set<std::int64_t> free_;
};

} // namespace jujubevalve
