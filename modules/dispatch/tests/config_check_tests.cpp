#include "dispatch/config_check.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace jujubevalve;

namespace
{
call_route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    call_route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.timeout = time_ms{4000};
    route.objective = time_ms{500};
    route.services = {{"notes", 1}};
    return route;
}

fleet_config_content make_config()
{
    fleet_config_content config;
    config.version = 3;
    config.routes = {make_route("a", "a.example", "/a/"), make_route("b", "a.example", "/a/b/")};
    config.services = {{"notes", "/health", 100, engine_options{16, 300'000, 4}}};
    config.accounts = std::vector<client_account>{{"east", {"key-of-east"}, 1, 1000},
                                                  {"west", {"key-of-west"}, {}, {}}};
    return config;
}

bool finds(const fleet_config_content& config, config_section section, std::size_t row,
           const std::string& field, finding_severity severity)
{
    const auto findings = check_config(config);
    return std::any_of(findings.begin(), findings.end(), [&](const auto& finding) {
        return finding.section == section && finding.row == row && finding.field == field &&
               finding.severity == severity;
    });
}
} // namespace

TEST_GROUP(config_check){};

// A longer prefix of the same host is no shadow, and a sound configuration has no findings.
TEST(config_check, a_sound_configuration_has_no_findings)
{
    CHECK(check_config(make_config()).empty());
}

// A route that is hidden by another one is never used, however its host is spelled.
TEST(config_check, finds_routes_that_never_match)
{
    auto config = make_config();
    config.routes.push_back(make_route("c", "A.Example:8080", "/a/"));
    CHECK(finds(config, config_section::routes, 2, "prefix", finding_severity::error));
    config.routes[2].prefix = "/c";
    CHECK(finds(config, config_section::routes, 2, "prefix", finding_severity::error));
}

// Requests to a route without a service fail one by one once the configuration is in force.
TEST(config_check, finds_services_that_do_not_exist_or_get_nothing)
{
    auto config = make_config();
    config.routes[0].services = {{"notes", 1}, {"drafts", 0}};
    CHECK(finds(config, config_section::routes, 0, "service", finding_severity::error));
    config.services.push_back({"drafts", "/", 0, {}});
    CHECK(finds(config, config_section::routes, 0, "weight", finding_severity::warning));
    config.services.push_back({"unused", "/", 0, {}});
    CHECK(finds(config, config_section::services, 2, "", finding_severity::warning));
}

// The second holder of a key is charged to the first one's budget.
TEST(config_check, finds_keys_of_two_accounts)
{
    auto config = make_config();
    config.accounts->at(1).keys = {"key-of-east"};
    CHECK(finds(config, config_section::accounts, 1, "keys", finding_severity::error));
}

// Limits that contradict each other make one of them void.
TEST(config_check, finds_limits_that_contradict_each_other)
{
    auto config = make_config();
    config.routes[0].objective = time_ms{5000};
    config.routes[1].kind = call_kind::idempotent;
    config.routes[1].max_attempts = 2;
    config.routes[1].timeout = time_ms{900};
    config.services[0].max_connections = 8;
    config.accounts->at(0).prepaid = 0;
    config.limits.idle_timeout = time_ms{1000};
    CHECK(finds(config, config_section::routes, 0, "objective", finding_severity::warning));
    CHECK(finds(config, config_section::routes, 1, "max_attempts", finding_severity::warning));
    CHECK(finds(config, config_section::services, 0, "max_connections", finding_severity::warning));
    CHECK(finds(config, config_section::accounts, 0, "prepaid", finding_severity::warning));
    CHECK(finds(config, config_section::limits, 0, "head_timeout", finding_severity::warning));
}

// An operator sees each change before it is sent, and no key.
TEST(config_check, shows_what_differs)
{
    const auto before = make_config();
    auto after = before;
    after.version = 4;
    after.routes[0].timeout = time_ms{800};
    after.routes.pop_back();
    after.accounts->at(0).keys.emplace_back("second-key-of-east");
    using kind = config_difference::kind;
    const auto differences = compare_configs(before, after);
    const std::vector<config_difference> expected{
        {kind::changed, config_section::document, "", "version", "3", "4"},
        {kind::changed, config_section::routes, "a", "timeout", "4000 ms", "800 ms"},
        {kind::removed, config_section::routes, "b", "", "", ""},
        {kind::changed, config_section::accounts, "east", "keys", "key-...", "key-..., seco..."}};
    CHECK(differences == expected);
    CHECK(compare_configs(before, before).empty());
}
