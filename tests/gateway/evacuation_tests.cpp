#include "standins/site/site_caller.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

using namespace jujubevalve;
using namespace jujubevalve::site;
using deployment = jujubevalve::site::site;

namespace
{
/// In which an idle instance reads a change of the operator's table.
constexpr time_ms change_time{500};

void wait(time_ms time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
}
} // namespace

/// Two instances before servers in the failure domains a and b.
TEST_GROUP(evacuation)
{
    std::unique_ptr<deployment> fleet;
    std::unique_ptr<site_caller> caller;

    void setup() override
    {
        site_options options;
        options.gateways = 2;
        options.engines = 2;
        options.plain_servers = 2;
        options.failure_domains = 2;
        fleet = std::make_unique<deployment>(options);
        caller = std::make_unique<site_caller>(*fleet);
        for (const auto& gateway : fleet->gateways()) {
            CHECK(fleet->wait_ready(gateway));
        }
        wait(change_time);
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
    int requests_in(const std::string& domain)
    {
        int requests = 0;
        for (const auto& server : fleet->servers()) {
            requests += server.failure_domain == domain ? server.server->requests() : 0;
        }
        return requests;
    }
    /// Sends calls of all kinds to all instances; returns how many were served.
    int call_all()
    {
        int served = 0;
        for (int i = 0; i < 40; ++i) {
            const auto& gateway = fleet->gateways()[static_cast<std::size_t>(i % 2)];
            const auto kind = i % 4 < 2 ? site_call::chat : site_call::stock;
            served += caller->call(gateway.listen, kind, 1).complete ? 1 : 0;
        }
        return served;
    }
    /// Returns the requests that servers of a domain get of call_all(), which is served whole.
    int requests_during_calls(const std::string& domain)
    {
        const auto before = requests_in(domain);
        CHECK_EQUAL(40, call_all());
        return requests_in(domain) - before;
    }
};

// Guards against an evacuation that is forgotten while the store is away, and against one that does
// not end.
TEST(evacuation, holds_while_the_store_is_away_and_until_it_is_taken_back)
{
    fleet->evacuate("a");
    wait(change_time);
    CHECK_EQUAL(0, requests_during_calls("a"));
    fleet->store().refuse_with = 503;
    wait(time_ms{2000});
    CHECK_EQUAL(0, requests_during_calls("a"));
    fleet->evacuate("a", false);
    fleet->store().refuse_with = 0;
    wait(time_ms{2000});
    CHECK(requests_during_calls("a") > 0);
}

// Guards against an instance that starts in the middle of an evacuation and serves before it knows
// of it, and against one that waits until the deadline of a request that nobody can serve.
TEST(evacuation, binds_an_instance_that_starts_and_leaves_no_server_if_all_domains_are_evacuated)
{
    fleet->evacuate("a");
    for (auto& gateway : fleet->gateways()) {
        gateway.process->kill();
        fleet->start(gateway);
        CHECK(fleet->wait_ready(gateway));
    }
    CHECK_EQUAL(0, requests_during_calls("a"));
    fleet->evacuate("b");
    wait(change_time);
    const auto before = requests_in("a") + requests_in("b");
    CHECK_EQUAL(503, caller->call(fleet->gateways().front().listen, site_call::chat, 1).status);
    CHECK_EQUAL(before, requests_in("a") + requests_in("b"));
    fleet->store().rows().forget_history();
    fleet->evacuate("b", false);
    wait(time_ms{2000});
    CHECK(requests_during_calls("b") > 0);
}
