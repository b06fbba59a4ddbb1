#include "config/tests/table_fixtures.h"
#include "standins/memory_table_store.h"

#include <algorithm>
#include <functional>
#include <thread>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::fixtures;

namespace
{
const auto no_wait = [](int /*repetition*/) {};

// A platform with term 1 and tables at version 1.
struct applied_platform {
    memory_table_store store;

    applied_platform()
    {
        write("term", encode(term_row{1, "braeside"}));
        const auto report = apply(config_snapshot{}, {}, {a_pool("grit")}, "first");
        CHECK(report.outcome == apply_outcome::applied);
    }

    void write(const std::string& key, const std::string& value)
    {
        CHECK(store.commit({{}, {{key, value}}, {}}).outcome == commit_outcome::committed);
    }

    apply_report apply(const config_snapshot& base, const std::vector<route>& route_rows,
                       const std::vector<pool>& pool_rows, const std::string& id)
    {
        const apply_planner planner{
            {base, routes(route_rows), pools(pool_rows), id, "ada", time_ms{1}, 0}};
        return apply_edit(store, planner, 20, no_wait);
    }

    config_snapshot now() { return load_snapshot(store).value(); }
};

// A store that passes each commit through a function, which can inject a fault or another change.
class interfering_store
{
public:
    using interference = std::function<commit_result(memory_table_store&, const transaction&)>;

    interfering_store(memory_table_store& store, interference interfere)
        : store_{store}
        , interfere_{std::move(interfere)}
    {
    }
    commit_result commit(const transaction& change) { return interfere_(store_, change); }
    auto read(const std::vector<std::string>& keys) { return store_.read(keys); }
    auto scan(const std::string& prefix, const std::string& after, std::size_t limit)
    {
        return store_.scan(prefix, after, limit);
    }

private:
    memory_table_store& store_;
    interference interfere_;
};
} // namespace

TEST_GROUP(apply){};

TEST(apply, writes_rows_log_and_head_in_one_transaction)
{
    applied_platform platform;
    const auto writes = platform.store.faults().counts().writes;
    const auto report = platform.apply(platform.now(), {a_route("x")}, {a_pool("grit")}, "second");
    CHECK(report.outcome == apply_outcome::applied);
    CHECK_EQUAL(2, report.version);
    CHECK_EQUAL(writes + 1, platform.store.faults().counts().writes);
    const auto log = load_log(platform.store, 0).value();
    CHECK_EQUAL(2U, log.size());
    CHECK_EQUAL(std::string{"second"}, log.back().apply_id);
    CHECK_EQUAL(std::string{"ada"}, log.back().operator_name);
    CHECK_EQUAL(1, platform.now().term());
    CHECK(platform.now().routes().contains("x"));
}

// Guards against an edit that silently overwrites another operator's edit.
TEST(apply, an_edit_of_an_older_version_is_refused_with_the_changed_rows)
{
    applied_platform platform;
    const auto base = platform.now();
    platform.apply(base, {a_route("x")}, {a_pool("grit")}, "winner");
    const auto report = platform.apply(base, {a_route("y")}, {a_pool("grit")}, "loser");
    CHECK(report.outcome == apply_outcome::refused);
    CHECK(report.error.code == result_code::stale_version);
    CHECK_EQUAL(1U, report.changed.size());
    CHECK((report.changed.front() == changed_row{"routes", "x", 2, "ada"}));
    CHECK(!platform.now().routes().contains("y"));
}

// Guards against two of several concurrent edits taking effect from the same version.
TEST(apply, one_of_several_racing_edits_wins)
{
    applied_platform platform;
    const auto base = platform.now();
    std::vector<apply_report> reports(8);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < reports.size(); ++i) {
        threads.emplace_back([&, i] {
            const auto name = "r" + std::to_string(i);
            reports[i] = platform.apply(base, {a_route(name)}, {a_pool("grit")}, name);
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK_EQUAL(1, std::count_if(reports.begin(), reports.end(), [](const auto& report) {
                    return report.outcome == apply_outcome::applied;
                }));
    CHECK_EQUAL(2, platform.now().version());
    CHECK_EQUAL(1U, platform.now().routes().size());
}

// Guards against an apply that is reported as refused although it took effect, or done twice.
TEST(apply, lost_answers_are_resolved_by_the_log)
{
    for (std::uint64_t seed = 2; seed < 30; ++seed) {
        applied_platform platform;
        platform.store.faults().set({false, time_ms{0}, 0.9, 0.0, seed});
        const auto report = platform.apply(platform.now(), {a_route("x")}, {a_pool("grit")}, "id");
        CHECK(report.outcome == apply_outcome::applied);
        CHECK_EQUAL(2, platform.now().version());
    }
}

// Guards against "refused" for a commit that the platform runs after the client stopped waiting.
TEST(apply, late_writes_take_effect_once)
{
    for (std::uint64_t seed = 2; seed < 30; ++seed) {
        applied_platform platform;
        const auto base = platform.now();
        platform.store.faults().set({false, time_ms{0}, 0.0, 0.6, seed});
        const apply_planner planner{
            {base, routes({a_route("x")}), pools({a_pool("grit")}), "id", "ada", time_ms{1}, 0}};
        const auto report = apply_edit(platform.store, planner, 20, [&](int repetition) {
            if (repetition == 2) {
                platform.store.run_late_writes();
            }
        });
        platform.store.run_late_writes();
        CHECK(report.outcome == apply_outcome::applied);
        CHECK_EQUAL(2, platform.now().version());
    }
}

// Guards against a definite result for an apply whose commit may still run.
TEST(apply, a_commit_that_stays_late_is_unknown)
{
    applied_platform platform;
    const auto base = platform.now();
    platform.store.faults().set({false, time_ms{0}, 0.0, 1.0, 1});
    CHECK(platform.apply(base, {a_route("x")}, {a_pool("grit")}, "id").outcome ==
          apply_outcome::unknown);
}

TEST(apply, an_outage_is_unavailable)
{
    applied_platform platform;
    const auto base = platform.now();
    platform.store.faults().set({true});
    CHECK(platform.apply(base, {a_route("x")}, {a_pool("grit")}, "id").outcome ==
          apply_outcome::unavailable);
    CHECK(load_snapshot(platform.store).error().code == result_code::platform_unavailable);
}

// Guards against a limit below what the fleet may already have spent.
TEST(apply, a_limit_below_the_allocated_tokens_is_refused)
{
    applied_platform platform;
    platform.write("ledger/brine", R"({"allocated":700})");
    auto lowered = a_pool("grit");
    lowered.limit_tokens = 799;
    const auto report = platform.apply(platform.now(), {}, {lowered}, "id");
    CHECK(report.error.code == result_code::limit_below_allocated);
    CHECK(report.error.message.find("expected at least 800") != std::string::npos);
    lowered.limit_tokens = 800;
    CHECK(platform.apply(platform.now(), {}, {lowered}, "id2").outcome == apply_outcome::applied);
}

// Guards against lowering a limit by removing the pool and adding it again.
TEST(apply, a_budget_that_returns_is_checked_against_its_ledger)
{
    applied_platform platform;
    platform.write("ledger/brine", R"({"allocated":700})");
    CHECK(platform.apply(platform.now(), {}, {}, "remove").outcome == apply_outcome::applied);
    auto lowered = a_pool("grit");
    lowered.limit_tokens = 500;
    CHECK(platform.apply(platform.now(), {}, {lowered}, "add").error.code ==
          result_code::limit_below_allocated);
}

// Guards against a grant that is made between the check of the ledger and the commit.
TEST(apply, a_ledger_that_changes_during_the_commit_is_checked_again)
{
    applied_platform platform;
    auto lowered = a_pool("grit");
    lowered.limit_tokens = 600;
    const apply_planner planner{{platform.now(), {}, pools({lowered}), "id", "ada", time_ms{1}, 0}};
    interfering_store store{platform.store, [&](auto& real, const transaction& change) {
                                platform.write("ledger/brine", R"({"allocated":700})");
                                return real.commit(change);
                            }};
    CHECK(apply_edit(store, planner, 5, no_wait).error.code == result_code::limit_below_allocated);
    CHECK_EQUAL(1, platform.now().version());
}

// Guards against writes of an operator whose term has ended.
TEST(apply, a_new_term_fences_a_commit_under_way)
{
    applied_platform platform;
    const apply_planner planner{{platform.now(), routes({a_route("x")}), pools({a_pool("grit")}),
                                 "id", "ada", time_ms{1}, 1}};
    interfering_store store{platform.store, [&](auto& real, const transaction& change) {
                                platform.write("term", encode(term_row{2, "braithwaite"}));
                                return real.commit(change);
                            }};
    CHECK(apply_edit(store, planner, 5, no_wait).error.code == result_code::term_fenced);
    CHECK_EQUAL(1, platform.now().version());
}

// Guards against tables of two versions mixed in one snapshot.
TEST(apply, a_snapshot_is_read_at_one_version)
{
    applied_platform platform;
    struct moving_store {
        applied_platform& platform;
        int scans{0};
        commit_result commit(const transaction& change) { return platform.store.commit(change); }
        auto read(const std::vector<std::string>& keys) { return platform.store.read(keys); }
        auto scan(const std::string& prefix, const std::string& after, std::size_t limit)
        {
            auto rows = platform.store.scan(prefix, after, limit);
            if (++scans == 1) {
                platform.apply(platform.now(), {a_route("x")}, {a_pool("grit")}, "between");
            }
            return rows;
        }
    } store{platform};
    const auto snapshot = load_snapshot(store).value();
    CHECK(snapshot == platform.now());
    CHECK_EQUAL(1U, snapshot.routes().size());
}
