#include "membership/budget_hints.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_sought = 32;
constexpr std::size_t max_sought_in_digest = 4;

void note(std::map<std::string, time_ms, std::less<>>& sought, std::string_view budget,
          time_ms until)
{
    const auto found = sought.find(budget);
    if (found != sought.end()) {
        found->second = until;
    } else if (sought.size() < max_sought) {
        sought.emplace(budget, until);
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
    note(sought_, budget, now + settings_.hint_lifetime);
}

void budget_hints::merge(const gossip_digest& digest, time_ms now)
{
    for (const auto& budget : digest.sought) {
        note(sought_elsewhere_, budget, now + settings_.hint_lifetime);
    }
    expire(now);
    for (const auto& hint : digest.hints) {
        add(hint, now);
    }
}

void budget_hints::add(const budget_hint& hint, time_ms now)
{
    const auto stated_at = now - hint.age;
    const auto found = heard_.find({hint.budget, hint.id});
    if (found == heard_.end()) {
        if (heard_.size() < settings_.max_hint_entries && hint.age < settings_.hint_lifetime) {
            heard_.emplace(hint_key{hint.budget, hint.id}, heard_hint{hint.available, stated_at});
        }
    } else if (stated_at > found->second.stated_at) {
        found->second = {hint.available, stated_at};
    }
}

void budget_hints::fill(gossip_digest& digest, time_ms now, std::size_t unasked)
{
    expire(now);
    for (const auto& [budget, until] : sought_) {
        if (digest.sought.size() < max_sought_in_digest) {
            digest.sought.push_back(budget);
        }
    }
    for (const auto& [budget, until] : sought_elsewhere_) {
        add_about(digest, budget, now);
    }
    add_own(digest, unasked);
}

void budget_hints::add_about(gossip_digest& digest, std::string_view budget, time_ms now) const
{
    const auto own = own_.find(budget);
    if (own != own_.end() && own->second > 0 && digest.hints.size() < settings_.max_hints) {
        digest.hints.push_back({digest.own.id, own->first, own->second, {}});
    }
    const auto known = ranked(budget, now);
    if (!known.empty() && digest.hints.size() < settings_.max_hints) {
        digest.hints.push_back(known.front());
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
    for (auto it = heard_.lower_bound({std::string{budget}, 0});
         it != heard_.end() && it->first.first == budget; ++it) {
        const auto age = now - it->second.stated_at;
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
    std::erase_if(heard_, [id](const auto& hint) { return hint.first.second == id; });
}

void budget_hints::expire(time_ms now)
{
    const auto over = [now](const auto& sought) { return sought.second <= now; };
    std::erase_if(sought_, over);
    std::erase_if(sought_elsewhere_, over);
    std::erase_if(heard_, [&](const auto& hint) {
        return hint.second.stated_at + settings_.hint_lifetime <= now;
    });
}

} // namespace jujubevalve
