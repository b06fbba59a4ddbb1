#pragma once

#include "core/time_ms.h"
#include "standins/child_process.h"
#include "standins/reserved_port.h"
#include "standins/site/faulty_server.h"
#include "standins/site/leaving_check.h"
#include "standins/site/run_tracker.h"
#include "standins/site/server_standin.h"
#include "standins/site/store_standin.h"
#include "standins/tcp_relay.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jujubevalve::site
{

/// Size of a site, and other settings.
struct site_options {
    int gateways{3};
    int engines{3};
    int plain_servers{2};
    int chat_attempts{3};  ///< of the route whose streams may be resumed
    int faulty_servers{0}; ///< of each service, with faults on the wire
    token_count prepaid{10'000'000};
    std::uint64_t seed{1};
    std::string log_folder{"/tmp"};
    int digest_min_instances{128};
    int failure_domains{1};  ///< over which the servers of each service are spread: a, b, ...
    int cold_limit_per_s{0}; ///< requests that a cold server bears; 0: services name no limit
};

/// A gateway process and the relay between it and the store.
struct site_gateway {
    std::string name;
    std::string listen;
    std::string readiness;
    std::string directory;
    std::string relay;
    std::string peer;
    std::unique_ptr<tcp_relay> store_path;
    std::unique_ptr<tcp_relay> peer_path; ///< from the other gateways
    std::unique_ptr<process::child_process> process;
};

/// A server, and the relay that simulates the network in front of it.
struct site_server {
    std::unique_ptr<server_standin> server;
    std::unique_ptr<tcp_relay> path;
    std::string service;
    bool registered{false};
    std::int64_t incarnation{1};
    bool is_down{false}; ///< crashed and not back yet
    std::string failure_domain;
    time_ms cold_for{}; ///< that its registration names
};

/// What requests that crash servers did.
struct crash_history {
    std::vector<time_ms> requests; ///< arrivals at servers
    std::vector<time_ms> crashes;

    /// Returns the requests that arrived later than `after` past the crash with this number,
    /// from 1.
    [[nodiscard]] std::size_t requests_later_than(std::size_t crash, time_ms after) const;
};

/// The store, servers and gateways of one deployment on loopback, with two accounts. Key "key-N"
/// belongs to account "account-N".
class site
{
public:
    explicit site(const site_options& options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    static constexpr const char* host = "site.example";

    [[nodiscard]] store_standin& store() { return store_; }
    [[nodiscard]] run_tracker& book() { return tracker_; }
    [[nodiscard]] leaving_check& leaving() { return leaving_; }
    [[nodiscard]] std::vector<site_gateway>& gateways() { return gateways_; }
    [[nodiscard]] std::vector<site_server>& servers() { return servers_; }
    [[nodiscard]] std::vector<std::unique_ptr<faulty_server>>& faulty_servers()
    {
        return faulty_servers_;
    }
    [[nodiscard]] const site_options& options() const { return options_; }

    /// Starts or restarts a gateway.
    void start(site_gateway& gateway);

    /// Waits until the gateway reports that it is ready; returns false on timeout.
    bool wait_ready(const site_gateway& gateway, time_ms limit = seconds(15));

    /// Makes requests with this shared prompt block crash the engines from now on; 0: none.
    void set_crash_block(std::uint64_t block, int share_thousandths = 1000);
    /// Makes the crashing calls of an account crash the servers from now on, see server_standin.
    void set_crash_account(int account);
    /// Ends a server's process: resets its connections and refuses new ones until it is back.
    /// `what`: the request that did it, if one did.
    void crash(site_server& server, const std::string& what = {});
    /// Ends the process of a server that leaves, and starts another one in its place.
    void replace(site_server& server);
    /// Waits until all crashed servers are back.
    void wait_restarted();
    /// Returns the history of all requests since the block or the account was set.
    [[nodiscard]] crash_history crashes() const;
    /// Returns the histories of requests that come again, by what each asks for.
    [[nodiscard]] std::map<std::string, crash_history> crashes_by_request() const;

    /// Registers the servers with faults on the wire, or removes their registrations.
    void announce_faulty_servers(bool present);

    /// Registers a server as ready or leaving, or removes its registration.
    void announce(site_server& server, bool leaving = false);
    void withdraw(site_server& server);

    /// Lets no request be sent to the servers of a failure domain, or takes that back.
    void evacuate(const std::string& domain, bool evacuated = true);

    /// Writes the next version of the configuration and returns its number. Every version has a
    /// route `/v<version>/` of its own besides the permanent ones.
    int publish(token_count prepaid);
    int publish() { return publish(prepaid_); }
    [[nodiscard]] token_count prepaid() const { return prepaid_; }

private:
    site_options options_;
    store_standin store_;
    run_tracker tracker_;
    leaving_check leaving_;
    std::vector<site_server> servers_;
    std::vector<std::unique_ptr<faulty_server>> faulty_servers_;
    std::vector<reserved_port> reserved_ports_; ///< on which the gateways listen
    std::vector<site_gateway> gateways_;
    token_count prepaid_;
    int version_{0};
    mutable std::mutex crash_mutex_;
    std::map<std::string, crash_history> crashes_; ///< by request
    std::vector<std::thread> restarts_;            ///< of crashed servers
};

} // namespace jujubevalve::site
