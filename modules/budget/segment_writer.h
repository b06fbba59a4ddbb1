#pragma once

#include "budget/segment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Creates and numbers the settlement segments of one incarnation. At most one segment is
/// unacknowledged; it is returned unchanged until its put is acknowledged, so that a repeated put
/// cannot alter the bill.
class segment_writer
{
public:
    explicit segment_writer(std::string incarnation);

    /// Adds a bill entry to the next segment.
    void add_bill(bill_entry entry);

    /// Returns the unacknowledged segment if there is one and ignores the arguments, so call
    /// `has_pending` first. Otherwise returns a new segment, or nothing if nothing has changed. All
    /// arguments must be taken at the same time.
    std::optional<segment> cut(std::vector<budget_spend> changed,
                               std::vector<sequence_mark> sequences,
                               std::vector<open_request> open);

    /// Returns whether a segment is unacknowledged.
    [[nodiscard]] bool has_pending() const { return pending_.has_value(); }

    /// Returns the unacknowledged segment.
    [[nodiscard]] const std::optional<segment>& pending() const { return pending_; }

    /// Records that the put of the segment succeeded. Ignores other numbers than the pending one.
    void acknowledge(std::int64_t seq);

    /// Returns the number of the newest segment, 0 if there is none.
    [[nodiscard]] std::int64_t last_seq() const { return last_seq_; }

private:
    std::string incarnation_;
    std::int64_t last_seq_{0};
    std::vector<bill_entry> bills_;
    std::vector<sequence_mark> last_sequences_;
    std::vector<open_request> last_open_;
    std::optional<segment> pending_;
};

} // namespace jujubevalve
