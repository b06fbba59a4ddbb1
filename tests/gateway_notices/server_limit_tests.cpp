#include "core/clock.h"
#include "standins/site/site_caller.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace jujubevalve;
using namespace jujubevalve::site;
using deployment = jujubevalve::site::site;

namespace
{
void wait(time_ms time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
}

/// The users' bounds: from this time on, at most one and a half times the limit and 5 requests in 4
/// s.
constexpr time_ms contact_time{3000};
constexpr time_ms window{4000};

std::size_t allowed_in_window(int limit_per_1000_s)
{
    return static_cast<std::size_t>(limit_per_1000_s * window.count() * 3 / 2 / 1'000'000) + 5;
}

std::size_t most_in_window(const std::vector<time_ms>& arrivals)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Calls of all kinds at all gateways, from several threads.
class callers
{
public:
    callers(site_caller& caller, std::vector<std::string> gateways)
    {
        constexpr int threads = 8;
        for (int i = 0; i < threads; ++i) {
            threads_.emplace_back([this, &caller, gateways, i] {
                for (std::size_t n = static_cast<std::size_t>(i); !stop_; ++n) {
                    const auto kind = n % 2 == 0 ? site_call::chat : site_call::stock;
                    caller.call(gateways[n % gateways.size()], kind, 1);
                    wait(time_ms{10});
                }
            });
        }
    }
    ~callers()
    {
        stop_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

private:
    std::atomic<bool> stop_{false};
    std::vector<std::thread> threads_;
};
} // namespace

/// Several gateways before servers of which some name a limit for all of them together.
TEST_GROUP(server_limits)
{
    std::unique_ptr<deployment> fleet;
    std::unique_ptr<site_caller> caller;

    void start_fleet(int gateways)
    {
        site_options options;
        options.gateways = gateways;
        fleet = std::make_unique<deployment>(options);
        caller = std::make_unique<site_caller>(*fleet);
        for (const auto& gateway : fleet->gateways()) {
            CHECK(fleet->wait_ready(gateway));
        }
    }
    void teardown() override
    {
        caller->check_responses_against_runs();
        for (const auto& violation : caller->violations()) {
            FAIL(violation.c_str());
        }
        caller.reset();
        fleet.reset();
    }
    std::vector<std::string> addresses()
    {
        std::vector<std::string> found;
        for (const auto& gateway : fleet->gateways()) {
            found.push_back(gateway.listen);
        }
        return found;
    }
    /// Lets a server name a limit for a while; returns the most requests that it got in a window
    /// from the time on at which the limit holds.
    std::size_t most_under_limit(site_server & server, int limit_per_1000_s, time_ms time)
    {
        server.server->limit_per_1000_s = limit_per_1000_s;
        wait(contact_time);
        server.server->take_arrivals();
        wait(time);
        return most_in_window(server.server->take_arrivals());
    }
};

// Incident 22: a server that names a limit for all instances together gets more from them, each of
// which knows only what it sent itself.
TEST(server_limits, a_server_gets_no_more_than_it_names_from_all_instances_together)
{
    start_fleet(4);
    callers load{*caller, addresses()};
    wait(seconds(2));
    auto& engine = fleet->servers().front();
    auto& plain = fleet->servers().back();
    for (const int limit : {1100, 400, 6000}) {
        // Long enough for six permits, so that a server with a limit is seen to be used.
        constexpr int permits_per_1000 = 6600;
        const auto time = std::max(seconds(6), seconds(permits_per_1000 / limit));
        const auto most = most_under_limit(engine, limit, time);
        CHECK(most <= allowed_in_window(limit));
        CHECK(most >= 1);
    }
    const auto most = most_under_limit(plain, 1700, seconds(6));
    CHECK(most <= allowed_in_window(1700));
    // The limit ends when the server no longer names it.
    engine.server->limit_per_1000_s = 0;
    wait(contact_time);
    engine.server->take_arrivals();
    wait(seconds(4));
    CHECK(engine.server->take_arrivals().size() > allowed_in_window(6000));
}

// Incident 22, variant: the store is away when the server first names its limit, and an instance
// starts again while the limit holds.
TEST(server_limits, a_limit_holds_while_the_store_is_away_and_over_a_restart)
{
    start_fleet(3);
    callers load{*caller, addresses()};
    wait(seconds(3)); // until the instances hold tokens
    auto& plain = fleet->servers().back();
    fleet->store().refuse_with = 503;
    CHECK(most_under_limit(plain, 1400, seconds(6)) <= allowed_in_window(1400));
    fleet->store().refuse_with = 0;
    auto& restarted = fleet->gateways().front();
    restarted.process->kill();
    fleet->start(restarted);
    CHECK(fleet->wait_ready(restarted));
    wait(contact_time);
    plain.server->take_arrivals();
    wait(seconds(5));
    CHECK(most_in_window(plain.server->take_arrivals()) <= allowed_in_window(1400));
}
