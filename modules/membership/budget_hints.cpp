#include "membership/budget_hints.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_requested_budgets = 32;
constexpr std::size_t max_requested_in_digest = 4;

void record_request(std::map<std::string, time_ms, std::less<>>& requested, std::string_view budget,
                    time_ms until)
{
    const auto found = requested.find(budget);
    if (found != requested.end()) {
        found->second = until;
    } else if (requested.size() < max_requested_budgets) {
        requested.emplace(budget, until);
    }
}
} // namespace

budget_hints::budget_hints(const membership_settings& settings)
    : settings_{settings}
{
}

void budget_hints::announce(std::map<std::string, std::int64_t, std::less<>> available)
{
    own_ = std::move(available);
}

void budget_hints::seek(std::string_view budget, time_ms now)
{
    record_request(requested_, budget, now + settings_.hint_lifetime);
}

void budget_hints::merge(const gossip_digest& digest, time_ms now)
{
    for (const auto& budget : digest.sought) {
        record_request(requested_by_peers_, budget, now + settings_.hint_lifetime);
    }
    expire(now);
    for (const auto& hint : digest.hints) {
        add(hint, now);
    }
}

void budget_hints::add(const budget_hint& hint, time_ms now)
{
    const auto announced_at = now - hint.age;
    const auto found = received_.find({hint.budget, hint.id});
    if (found == received_.end()) {
        if (received_.size() < settings_.max_stored_hints && hint.age < settings_.hint_lifetime) {
            received_.emplace(hint_key{hint.budget, hint.id},
                              received_hint{hint.available, announced_at});
        }
    } else if (announced_at > found->second.announced_at) {
        found->second = {hint.available, announced_at};
    }
}

void budget_hints::fill(gossip_digest& digest, time_ms now, std::size_t max_unrequested)
{
    expire(now);
    for (const auto& [budget, until] : requested_) {
        if (digest.sought.size() < max_requested_in_digest) {
            digest.sought.push_back(budget);
        }
    }
    for (const auto& [budget, until] : requested_by_peers_) {
        add_requested(digest, budget, now);
    }
    add_own(digest, max_unrequested);
}

void budget_hints::add_requested(gossip_digest& digest, std::string_view budget, time_ms now) const
{
    const auto own = own_.find(budget);
    if (own != own_.end() && own->second > 0 && digest.hints.size() < settings_.max_hints) {
        digest.hints.push_back({digest.own.id, own->first, own->second, {}});
    }
    const auto hints = ranked(budget, now);
    if (!hints.empty() && digest.hints.size() < settings_.max_hints) {
        digest.hints.push_back(hints.front());
    }
}

void budget_hints::add_own(gossip_digest& digest, std::size_t count)
{
    auto next = own_.lower_bound(next_own_);
    for (std::size_t i = 0; i < std::min(count, own_.size()); ++i, ++next) {
        if (next == own_.end()) {
            next = own_.begin();
        }
        if (digest.hints.size() >= settings_.max_hints) {
            break;
        }
        digest.hints.push_back({digest.own.id, next->first, next->second, {}});
    }
    next_own_ = next == own_.end() ? std::string{} : next->first;
}

std::vector<budget_hint> budget_hints::ranked(std::string_view budget, time_ms now) const
{
    std::vector<budget_hint> found;
    for (auto it = received_.lower_bound({std::string{budget}, 0});
         it != received_.end() && it->first.first == budget; ++it) {
        const auto age = now - it->second.announced_at;
        if (age < settings_.hint_lifetime && it->second.available > 0) {
            found.push_back({it->first.second, it->first.first, it->second.available, age});
        }
    }
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
        return std::pair{-a.available, a.id} < std::pair{-b.available, b.id};
    });
    return found;
}

void budget_hints::forget(member_id id)
{
    std::erase_if(received_, [id](const auto& hint) { return hint.first.second == id; });
}

void budget_hints::expire(time_ms now)
{
    const auto expired = [now](const auto& request) { return request.second <= now; };
    std::erase_if(requested_, expired);
    std::erase_if(requested_by_peers_, expired);
    std::erase_if(received_, [&](const auto& hint) {
        return hint.second.announced_at + settings_.hint_lifetime <= now;
    });
}

} // namespace jujubevalve
