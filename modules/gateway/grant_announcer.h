#pragma once

#include "dispatch/instance_registry.h"
#include "dispatch/ledger_recovery.h"
#include "gateway/peer_link.h"
#include "net/event_loop.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Tells a few of the followers of the grants what this instance has drawn, before it uses it: they
/// read the store only a few times a second. A message that is lost is not repeated.
class grant_announcer
{
public:
    explicit grant_announcer(event_loop& loop);
    ~grant_announcer();
    grant_announcer(const grant_announcer&) = delete;
    grant_announcer& operator=(const grant_announcer&) = delete;

    /// Sets the listed instances, among which the followers are chosen, and the addresses of the
    /// other instances. Opens the connections that are missing; call it periodically.
    void set_instances(const std::string& own_instance, const std::vector<std::string>& listed,
                       const std::vector<notice_peer>& peers);

    void announce(const announced_grant& grant);

private:
    struct follower {
        std::string address;
        std::unique_ptr<peer_link> link;
        time_ms next_connect{};
    };

    void choose(const std::string& own_instance);
    void connect(const std::string& instance, follower& to);
    void close(follower& to);

    event_loop& loop_;
    std::vector<std::string> listed_;
    std::vector<notice_peer> peers_;
    std::map<std::string, follower> followers_; ///< by instance
};

} // namespace jujubevalve
