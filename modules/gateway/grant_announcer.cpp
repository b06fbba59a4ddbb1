#include "gateway/grant_announcer.h"

#include "dispatch/fleet_notices.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Followers that each instance tells what it draws. Some may be frozen, or end with it.
constexpr std::size_t follower_count = 3;
constexpr time_ms reconnect_delay{1000};
} // namespace

grant_announcer::grant_announcer(event_loop& loop)
    : loop_{loop}
{
}

grant_announcer::~grant_announcer() = default;

void grant_announcer::set_instances(const std::string& own_instance,
                                    const std::vector<std::string>& listed,
                                    const std::vector<notice_peer>& peers)
{
    if (listed != listed_ || peers != peers_) {
        listed_ = listed;
        peers_ = peers;
        choose(own_instance);
    }
    for (auto& [instance, to] : followers_) {
        if ((!to.link || !to.link->is_open()) && loop_.now() >= to.next_connect) {
            connect(instance, to);
        }
    }
}

void grant_announcer::choose(const std::string& own_instance)
{
    std::map<std::string, std::string> addresses;
    for (const auto& peer : peers_) {
        addresses.emplace(peer.instance, peer.address);
    }
    auto names = choose_followers(listed_);
    std::erase_if(names, [&](const auto& name) { return !addresses.contains(name); });
    const auto chosen = choose_notice_peers(own_instance, names, follower_count);
    for (auto entry = followers_.begin(); entry != followers_.end();) {
        const bool is_kept =
            std::find(chosen.begin(), chosen.end(), entry->first) != chosen.end() &&
            entry->second.address == addresses.at(entry->first);
        if (is_kept) {
            ++entry;
        } else {
            close(entry->second);
            entry = followers_.erase(entry);
        }
    }
    for (const auto& instance : chosen) {
        followers_[instance].address = addresses.at(instance);
    }
}

void grant_announcer::connect(const std::string& instance, follower& to)
{
    to.next_connect = loop_.now() + reconnect_delay;
    close(to);
    to.link = std::make_unique<peer_link>(loop_, to.address,
                                          peer_link::handlers{[](const peer_message&) {},
                                                              [this, instance] {
                                                                  if (const auto found =
                                                                          followers_.find(instance);
                                                                      found != followers_.end()) {
                                                                      close(found->second);
                                                                  }
                                                              }});
}

void grant_announcer::announce(const announced_grant& grant)
{
    for (auto& [instance, to] : followers_) {
        if (to.link && to.link->is_open()) {
            to.link->send(grant);
        }
    }
}

// Deferred, since the connection may be on the stack.
void grant_announcer::close(follower& to)
{
    if (to.link) {
        to.link->close();
        loop_.defer([old = std::shared_ptr<peer_link>{std::move(to.link)}] {});
    }
}

} // namespace jujubevalve
