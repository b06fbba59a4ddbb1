#include "table_fixtures.h"

// Last: CppUTest defines a macro named `new`.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::fixtures;

namespace
{
// Returns all messages for the tables, one per line; empty if the tables are valid.
std::string errors_of(const std::vector<route>& route_rows, const std::vector<pool>& pool_rows)
{
    return join(validate(routes(route_rows), pools(pool_rows))).message;
}

bool contains(const std::string& text, const std::string& substring)
{
    return text.find(substring) != std::string::npos;
}
} // namespace

TEST_GROUP(table_validation){};

TEST(table_validation, accepts_valid_tables)
{
    auto shared = a_pool("grit-2", "brine-2");
    shared.servers_of = "grit";
    shared.servers.clear();
    CHECK_EQUAL(std::string{},
                errors_of({a_route("x"), a_route("y", "clerks")}, {a_pool("grit"), shared}));
    CHECK_EQUAL(std::string{}, errors_of({}, {}));
}

TEST(table_validation, unknown_pool)
{
    CHECK(contains(errors_of({a_route("x")}, {}), "routes row \"x\": field \"pool\" is \"grit\""));
}

// Guards against a request that matches two routes.
TEST(table_validation, same_account_and_kind_twice)
{
    auto second = a_route("y");
    second.request_kind = "x";
    CHECK(contains(errors_of({a_route("x"), second}, {a_pool("grit")}), "no other route"));
}

// Guards against a bearer key that authenticates two accounts.
TEST(table_validation, one_digest_for_two_accounts)
{
    auto second = a_route("y", "clerks");
    second.key_digest = a_route("x").key_digest;
    CHECK(contains(errors_of({a_route("x"), second}, {a_pool("grit")}), "no other account"));
}

TEST(table_validation, two_digests_for_one_account)
{
    auto second = a_route("y");
    second.key_digest.back() = 'c';
    CHECK(contains(errors_of({a_route("x"), second}, {a_pool("grit")}), "the same key"));
}

// Guards against non-idempotent requests on engines: after the loss of a backend server, a request
// is run again on another one.
TEST(table_validation, non_idempotent_route_to_engines)
{
    auto row = a_route("x");
    row.idempotent = false;
    CHECK(contains(errors_of({row}, {a_pool("grit")}), "field \"idempotent\" is false"));
}

// Guards against plain calls without a cost, and against a fixed cost for engine requests, which
// would be ignored.
TEST(table_validation, fixed_cost_must_match_the_pool_kind)
{
    auto plain = a_pool("grit");
    plain.kind = service_kind::plain;
    CHECK(contains(errors_of({a_route("x")}, {plain}), "field \"fixed_cost_tokens\" is 0"));
    auto row = a_route("x");
    row.fixed_cost_tokens = 5;
    CHECK(contains(errors_of({row}, {a_pool("grit")}), "field \"fixed_cost_tokens\" is 5"));
}

TEST(table_validation, margin_above_limit)
{
    auto row = a_pool("grit");
    row.safety_margin_tokens = 1001;
    CHECK(contains(errors_of({}, {row}), "expected a number from 0 to the limit 1000"));
}

// Guards against a `servers_of` that does not lead to a pool with servers of its own.
TEST(table_validation, servers_of_chain_cycle_and_unknown_name)
{
    auto a = a_pool("a", "budget-a");
    a.servers.clear();
    a.servers_of = "a";
    CHECK(contains(errors_of({}, {a}), "lists its own servers"));
    a.servers_of = "bb";
    auto b = a_pool("bb", "budget-b");
    b.servers.clear();
    b.servers_of = "a";
    CHECK_EQUAL(2U, validate({}, pools({a, b})).size());
    CHECK(contains(errors_of({}, {a}), "field \"servers_of\" is \"bb\""));
    auto both = a_pool("a");
    both.servers_of = "bb";
    CHECK(contains(errors_of({}, {both, a_pool("bb")}), "expected an empty list"));
}

TEST(table_validation, servers_of_another_kind)
{
    auto a = a_pool("a", "budget-a");
    a.servers.clear();
    a.servers_of = "bb";
    a.kind = service_kind::plain;
    CHECK(contains(errors_of({}, {a, a_pool("bb")}), "the same \"kind\""));
}

TEST(table_validation, pool_without_servers)
{
    auto a = a_pool("a");
    a.servers.clear();
    CHECK(contains(errors_of({}, {a}), "at least one server"));
}

// Guards against two servers that share a name or address: a request's key at a backend server
// contains the server's name, so it would not identify one server.
TEST(table_validation, server_name_or_address_used_twice)
{
    auto b = a_pool("bb", "budget-b");
    b.servers.front().name = "server-a";
    CHECK(contains(errors_of({}, {a_pool("a"), b}), "field \"servers.name\" is \"server-a\""));
    b = a_pool("bb", "budget-b");
    b.servers.front().address = a_pool("a").servers.front().address;
    CHECK(contains(errors_of({}, {a_pool("a"), b}), "field \"servers.address\""));
}

// Guards against pools that give the same budget different limits.
TEST(table_validation, one_budget_with_two_limits)
{
    auto b = a_pool("bb");
    b.limit_tokens = 999;
    b.safety_margin_tokens = 99;
    CHECK_EQUAL(2U, validate({}, pools({a_pool("a"), b})).size());
}

// Guards against a validation that stops at the first error, so that an operator finds the errors
// one by one.
TEST(table_validation, reports_all_errors)
{
    auto row = a_pool("a");
    row.safety_margin_tokens = 2000;
    CHECK_EQUAL(3U, validate(routes({a_route("x"), a_route("y")}), pools({row})).size());
}
