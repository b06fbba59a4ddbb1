#include "budget/segment_writer.h"

#include <utility>

namespace jujubevalve
{

segment_writer::segment_writer(std::string incarnation)
    : incarnation_{std::move(incarnation)}
{
}

void segment_writer::add_bill(bill_entry entry)
{
    bills_.push_back(std::move(entry));
}

std::optional<segment> segment_writer::cut(std::vector<budget_spend> changed,
                                           std::vector<sequence_mark> sequences,
                                           std::vector<open_request> open)
{
    if (pending_) {
        return pending_;
    }
    if (changed.empty() && bills_.empty() && sequences == last_sequences_ && open == last_open_) {
        return std::nullopt;
    }
    last_sequences_ = sequences;
    last_open_ = open;
    pending_ =
        segment{incarnation_,         ++last_seq_,    std::move(changed), std::exchange(bills_, {}),
                std::move(sequences), std::move(open)};
    return pending_;
}

void segment_writer::acknowledge(std::int64_t seq)
{
    if (pending_ && pending_->seq == seq) {
        pending_.reset();
    }
}

} // namespace jujubevalve
