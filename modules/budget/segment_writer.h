#pragma once

#include "budget/segment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Numbers the settlement segments of one incarnation. At most one segment is unacknowledged; it is
/// handed out unchanged until its put is acknowledged, so a repeated put cannot alter the bill.
class segment_writer
{
public:
    explicit segment_writer(std::string incarnation);

    /// Adds an entry to the next segment.
    void add_bill(bill_entry entry);

    /// Returns the unacknowledged segment if there is one and takes nothing from the arguments;
    /// call `has_pending` first. Otherwise cuts a new segment, or returns nothing if nothing has
    /// changed. All arguments must describe the same moment.
    std::optional<segment> cut(std::vector<budget_spend> changed,
                               std::vector<sequence_mark> sequences,
                               std::vector<open_request> open);

    /// Whether a segment waits for its acknowledgement.
    [[nodiscard]] bool has_pending() const { return pending_.has_value(); }

    /// The segment that waits for its acknowledgement.
    [[nodiscard]] const std::optional<segment>& pending() const { return pending_; }

    /// The put of the segment succeeded. Ignores numbers other than the pending one.
    void acknowledge(std::int64_t seq);

    /// Number of the newest segment, 0 if there is none.
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
