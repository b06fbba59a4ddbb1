#include "dispatch/account_homes.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr time_ms initial_avoidance{500};
constexpr time_ms max_avoidance{4000};
} // namespace

account_homes::account_homes(std::string own_instance)
    : own_instance_{std::move(own_instance)}
{
}

bool account_homes::set_candidates(std::vector<home_candidate> candidates)
{
    if (candidates == candidates_) {
        return false;
    }
    candidates_ = std::move(candidates);
    std::erase_if(suspicions_, [this](const auto& entry) {
        return std::none_of(candidates_.begin(), candidates_.end(), [&](const auto& candidate) {
            return candidate.instance == entry.first;
        });
    });
    return true;
}

std::vector<const home_candidate*> account_homes::ranked(std::string_view account) const
{
    const auto account_hash = hash64(account);
    std::vector<std::pair<std::uint64_t, const home_candidate*>> weighted;
    weighted.reserve(candidates_.size());
    for (const auto& candidate : candidates_) {
        weighted.emplace_back(hash64(candidate.instance, account_hash), &candidate);
    }
    const auto count = std::min(max_homes, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(),
                      [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<const home_candidate*> best;
    for (std::size_t i = 0; i < count; ++i) {
        best.push_back(weighted[i].second);
    }
    return best;
}

std::vector<home_candidate> account_homes::homes(std::string_view account, time_ms now) const
{
    std::vector<home_candidate> found;
    std::vector<home_candidate> avoided;
    for (const auto* candidate : ranked(account)) {
        const auto suspicion = suspicions_.find(candidate->instance);
        const bool is_avoided = suspicion != suspicions_.end() && now < suspicion->second.until;
        (is_avoided ? avoided : found).push_back(*candidate);
    }
    found.insert(found.end(), avoided.begin(), avoided.end());
    return found;
}

std::optional<std::size_t> account_homes::own_rank(std::string_view account) const
{
    const auto best = ranked(account);
    for (std::size_t i = 0; i < best.size(); ++i) {
        if (is_own(*best[i])) {
            return i;
        }
    }
    return std::nullopt;
}

void account_homes::note_failure(const std::string& instance, time_ms now)
{
    auto& suspicion = suspicions_[instance];
    const auto doublings = std::min(suspicion.failures++, 5);
    suspicion.until =
        now + std::min(initial_avoidance * (std::int64_t{1} << doublings), max_avoidance);
}

void account_homes::note_response(const std::string& instance)
{
    if (const auto found = suspicions_.find(instance); found != suspicions_.end()) {
        suspicions_.erase(found);
    }
}

} // namespace jujubevalve
