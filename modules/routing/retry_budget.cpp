#include "routing/retry_budget.h"

#include <algorithm>

namespace jujubevalve
{

retry_budget::retry_budget(std::int64_t percent, std::int64_t burst)
    : percent_{percent}
    , max_hundredths_{burst * 100}
    , available_hundredths_{max_hundredths_}
{
}

void retry_budget::add_request()
{
    available_hundredths_ = std::min(max_hundredths_, available_hundredths_ + percent_);
}

bool retry_budget::take(bool idempotent)
{
    if (!idempotent || available_hundredths_ < 100) {
        return false;
    }
    available_hundredths_ -= 100;
    return true;
}

} // namespace jujubevalve
