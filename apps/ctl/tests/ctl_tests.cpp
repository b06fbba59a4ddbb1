#include "config/config.h"
#include "core/core.h"
#include "ctl/handover_check.h"
#include "ctl/handover_commands.h"
#include "ctl/table_commands.h"
#include "ctl/view_commands.h"
#include "standins/platform_server.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <thread>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using nlohmann::json;

namespace
{
std::string example(const std::string& name)
{
    std::ifstream file{std::string{EXAMPLES} + "/" + name + ".json"};
    return {std::istreambuf_iterator<char>{file}, {}};
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

void check_code(exit_code expected, const command_result& result)
{
    CHECK_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(result.code),
                     (result.output + result.errors).c_str());
}

// A platform in its first term, and commands on it.
struct operated_platform {
    platform_server server{{"127.0.0.1:0", "platform-secret", time_ms{0}}};
    http_platform platform{{server.address(), "platform-secret"}};
    ctl_context context{platform, false, time_ms{1'000'000}};
    ctl_context json_context{platform, true, time_ms{1'000'000}};

    operated_platform() { check_code(exit_code::ok, init_platform(context, "braithwaite", 1)); }

    command_result apply(const std::string& file, const apply_options& options = {})
    {
        return apply_tables(context, file, options);
    }
    json fetch() const { return json::parse(fetch_tables(context, "all").output); }

    void write(const std::string& key, const json& value)
    {
        CHECK(server.tables().commit({{}, {{key, value.dump()}}, {}}).outcome ==
              commit_outcome::committed);
    }
    void remove(const std::string& key)
    {
        CHECK(server.tables().commit({{}, {}, {key}}).outcome == commit_outcome::committed);
    }
    void put(const std::string& incarnation, int seq, const json& budgets,
             const json& bills = json::array())
    {
        const json segment{
            {"incarnation", incarnation}, {"seq", seq}, {"budgets", budgets}, {"bills", bills}};
        CHECK(server.objects()
                  .put("segments/" + incarnation + "/00000000000" + std::to_string(seq),
                       segment.dump())
                  .has_value());
    }

    // Two incarnations with grants, a transfer and segments that agree.
    void add_spend()
    {
        write("ledger/planning", {{"allocated", 300}});
        write("grant/planning/a-1", {{"granted", 200},
                                     {"seq", 1},
                                     {"sent", {{"b-2", 50}}},
                                     {"received", json::object()},
                                     {"closed", false}});
        write("grant/planning/b-2", {{"granted", 100},
                                     {"seq", 1},
                                     {"sent", json::object()},
                                     {"received", {{"a-1", 50}}},
                                     {"closed", true}});
        write("instance/a-1", {{"instance", "a"}, {"incarnation", "a-1"}, {"state", "active"}});
        write(
            "instance/b-2",
            {{"instance", "b"}, {"incarnation", "b-2"}, {"state", "closed"}, {"final_segment", 2}});
        put("a-1", 1, spent(30), json::array({bill("k1", 30)}));
        put("a-1", 2, spent(70), json::array({bill("k1", 30), bill("k2", 40)}));
        put("b-2", 1, spent(150));
        put("b-2", 2, json::array());
    }
    static json spent(int tokens)
    {
        return json::array({{{"name", "planning"}, {"spent", tokens}}});
    }
    static json bill(const std::string& key, int tokens)
    {
        return {{"account", "x"}, {"key", key}, {"budget", "planning"}, {"tokens", tokens}};
    }

    // The disagreements that handover check lists.
    std::vector<std::string> disagreements()
    {
        const auto result = check_handover(json_context);
        const auto list = json::parse(result.output).at("disagreements");
        check_code(list.empty() ? exit_code::ok : exit_code::refused, result);
        return list.get<std::vector<std::string>>();
    }
};
} // namespace

TEST_GROUP(ctl){};

TEST(ctl, both_examples_are_valid_and_apply)
{
    for (const auto* const name : {"braithwaite", "braeside"}) {
        operated_platform fleet;
        check_code(exit_code::ok, validate_tables(fleet.context, example(name)));
        check_code(exit_code::ok, fleet.apply(example(name), {0}));
        CHECK(fleet.fetch().at("routes") == json::parse(example(name)).at("routes"));
        CHECK(fleet.disagreements().empty());
    }
}

TEST(ctl, fetch_edit_apply_is_a_cycle)
{
    operated_platform fleet;
    fleet.apply(example("braeside"));
    auto file = json::parse(fetch_tables(fleet.context, "pools").output);
    CHECK(!file.contains("routes"));
    file["pools"][0]["limit_tokens"] = 2'000'000'000;
    CHECK(contains(diff_tables(fleet.context, file.dump()).output,
                   "limit_tokens: 4000000000 -> 2000000000"));
    const auto result = fleet.apply(file.dump(), {1});
    check_code(exit_code::ok, result);
    CHECK(contains(result.output, "Applied as version 2."));
    CHECK_EQUAL(2'000'000'000, fleet.fetch()["pools"][0]["limit_tokens"].get<std::int64_t>());
    CHECK(contains(diff_tables(fleet.context, fetch_tables(fleet.context, "all").output).output,
                   "No differences"));
    CHECK(contains(fleet.apply(fetch_tables(fleet.context, "all").output).output,
                   "Nothing to change"));
}

// Guards against an edit from an old version that overwrites a newer one.
TEST(ctl, a_stale_edit_is_refused_with_the_rows_that_changed)
{
    operated_platform fleet;
    fleet.apply(example("braeside"));
    auto file = json::parse(fetch_tables(fleet.context, "routes").output);
    file["routes"][0]["priority"] = 9;
    check_code(exit_code::ok, fleet.apply(file.dump(), {1, "", "ada"}));
    file["routes"][0]["priority"] = 8;
    const auto result = fleet.apply(file.dump());
    check_code(exit_code::refused, result);
    CHECK(contains(result.errors, "4002 stale_version"));
    CHECK(contains(result.errors, "routes row \"carvers-harris.design\" was changed in version 2 "
                                  "by \"ada\""));
    file["version"] = 7;
    check_code(exit_code::refused, fleet.apply(file.dump()));
    check_code(exit_code::usage, fleet.apply(file.dump(), {2}));
    const auto as_json = apply_tables(fleet.json_context, fleet.fetch().dump(), {});
    CHECK(!json::parse(as_json.output).at("applied").get<bool>());
}

TEST(ctl, racing_operators_get_one_success)
{
    operated_platform fleet;
    fleet.apply(example("braeside"));
    const auto file = fleet.fetch();
    std::vector<command_result> results(6);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < results.size(); ++i) {
        threads.emplace_back([&, i] {
            auto edited = file;
            edited["routes"][i]["priority"] = 0;
            results[i] = fleet.apply(edited.dump());
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK_EQUAL(1, std::count_if(results.begin(), results.end(),
                                 [](const auto& r) { return r.code == exit_code::ok; }));
    CHECK_EQUAL(2, fleet.fetch()["version"].get<int>());
}

// Guards against operators who have to repeat apply to find the next error.
TEST(ctl, all_errors_of_a_file_are_listed)
{
    operated_platform fleet;
    auto file = json::parse(example("braeside"));
    file["routes"][0]["pool"] = "none";
    file["pools"][0]["safety_margin_tokens"] = 999'999'999'999;
    const auto result = fleet.apply(file.dump());
    check_code(exit_code::refused, result);
    CHECK_EQUAL(2, std::count(result.errors.begin(), result.errors.end(), '\n'));
    CHECK(contains(result.errors, "error 4003 unknown_name: routes row"));
    CHECK_EQUAL(0, fleet.fetch()["version"].get<int>());
}

TEST(ctl, exit_codes_tell_unavailable_from_unknown)
{
    operated_platform fleet;
    fleet.apply(example("braeside"));
    auto file = fleet.fetch();
    file["routes"][0]["priority"] = 0;
    fleet.server.faults().set({true});
    check_code(exit_code::unavailable, fleet.apply(file.dump()));
    check_code(exit_code::unavailable, check_handover(fleet.context));
    check_code(exit_code::unavailable, show_budgets(fleet.context));
    fleet.server.faults().set({false, time_ms{0}, 0.0, 1.0});
    const auto unknown = fleet.apply(file.dump(), {1, "my-apply"});
    check_code(exit_code::unknown, unknown);
    CHECK(contains(unknown.errors, "--base=1 --apply_id=my-apply"));
    fleet.server.faults().set({});
    fleet.server.tables().run_late_writes();
    const auto repeated = fleet.apply(file.dump(), {1, "my-apply"});
    check_code(exit_code::ok, repeated);
    CHECK(contains(repeated.output, "already applied as version 2"));
}

// Guards against a handover or an apply that is reported wrongly after a lost answer.
TEST(ctl, lost_answers_are_resolved)
{
    operated_platform fleet;
    fleet.server.faults().set({false, time_ms{0}, 1.0});
    check_code(exit_code::ok, fleet.apply(example("braeside")));
    check_code(exit_code::ok, begin_handover(fleet.context, 2, "braeside"));
    CHECK(fleet.disagreements().empty());
}

TEST(ctl, a_platform_is_initialised_once)
{
    operated_platform fleet;
    check_code(exit_code::refused, init_platform(fleet.context, "other", 5));
    CHECK_EQUAL(std::string{"braithwaite"},
                decode_term(fleet.platform.read({"term"})->front().value)->operator_name);
}

// Guards against a term that reverts and against writes of the operator that was replaced.
TEST(ctl, a_handover_raises_the_term_and_fences_the_old_one)
{
    operated_platform fleet;
    check_code(exit_code::refused, begin_handover(fleet.context, 1, "braeside"));
    check_code(exit_code::ok, begin_handover(fleet.context, 2, "braeside"));
    const auto fenced = fleet.apply(example("braeside"), {0, "", "ada", 1});
    check_code(exit_code::refused, fenced);
    CHECK(contains(fenced.errors, "5004 term_fenced"));
    check_code(exit_code::ok, fleet.apply(example("braeside"), {0, "", "", 2}));
    CHECK(contains(show_versions(fleet.context).output, "braeside"));
    const auto audit = show_audit(fleet.context).output;
    CHECK(contains(audit, "handover") && contains(audit, "init") && contains(audit, "apply"));
    CHECK(fleet.disagreements().empty());
}

// Guards against the credential or a bearer key in output, errors or the audit trail.
TEST(ctl, secrets_are_not_shown)
{
    operated_platform fleet;
    http_platform stranger{{fleet.server.address(), "wrong-secret"}};
    const auto refused = show_budgets({stranger});
    check_code(exit_code::refused, refused);
    auto file = json::parse(example("braeside"));
    file["routes"][0]["key_digest"] = "example-secret";
    const auto pasted = fleet.apply(file.dump());
    fleet.apply(example("braeside"));
    file = fleet.fetch();
    for (auto& row : file["routes"]) {
        if (row["account"] == "shop-catalogue") {
            row["key_digest"] = std::string(64, 'c');
        }
    }
    const auto changed = fleet.apply(file.dump());
    check_code(exit_code::ok, changed);
    CHECK(!contains(changed.output, "cccc"));
    for (const auto& result : {refused, pasted, changed, show_audit(fleet.json_context)}) {
        CHECK(!contains(result.output + result.errors, "secret"));
    }
}

TEST(ctl, budgets_show_limit_granted_spent_and_free)
{
    operated_platform fleet;
    fleet.apply(example("braithwaite"));
    fleet.add_spend();
    const auto list = json::parse(show_budgets(fleet.json_context).output);
    const auto found = std::find_if(list.begin(), list.end(),
                                    [](const auto& item) { return item["budget"] == "planning"; });
    CHECK_EQUAL(300, (*found)["granted_tokens"].get<int>());
    CHECK_EQUAL(220, (*found)["spent_tokens"].get<int>());
    CHECK_EQUAL(3'000'000'000 - 3'000'000 - 300, (*found)["free_tokens"].get<std::int64_t>());
    CHECK(contains(show_budgets(fleet.context).output, "planning"));
    CHECK(contains(show_instances(fleet.context).output, "not listed"));
}

TEST(ctl, handover_check_agrees_with_consistent_state)
{
    operated_platform fleet;
    fleet.apply(example("braithwaite"));
    fleet.add_spend();
    CHECK(fleet.disagreements().empty());
}

// Guards against reports of a gap where a recovery has written its segment, and of tokens that it
// had to charge without proof of their use.
TEST(ctl, handover_check_accepts_what_a_recovery_leaves)
{
    operated_platform fleet;
    fleet.apply(example("braithwaite"));
    fleet.add_spend();
    const json recovered{{"incarnation", "b-2"},
                         {"seq", 999'999'999'999},
                         {"budgets", operated_platform::spent(150)},
                         {"bills", json::array()}};
    CHECK(fleet.server.objects().put("segments/b-2/999999999999", recovered.dump()).has_value());
    fleet.write("instance/b-2", {{"instance", "b"},
                                 {"incarnation", "b-2"},
                                 {"state", "closed"},
                                 {"final_segment", 999'999'999'999}});
    CHECK(fleet.disagreements().empty());
    json grant{{"granted", 110},
               {"seq", 2},
               {"sent", json::object()},
               {"received", {{"a-1", 50}}},
               {"closed", true}};
    fleet.write("ledger/planning", {{"allocated", 310}});
    fleet.write("grant/planning/b-2", grant);
    CHECK_EQUAL(1U, fleet.disagreements().size());
    grant["charged_in_full"] = true;
    fleet.write("grant/planning/b-2", grant);
    CHECK(fleet.disagreements().empty());
}

// Guards against state that a new operator could not trust; each change must be found, alone.
TEST(ctl, handover_check_finds_each_disagreement)
{
    using change = std::function<void(operated_platform&)>;
    const std::vector<std::pair<change, std::string>> changes{
        {[](auto& f) {
             f.write("ledger/planning", {{"allocated", 301}});
         },
         "the grants add up to 300, the ledger has 301"},
        {[](auto& f) {
             f.write("ledger/yard-calls", {{"allocated", 49'950'001}});
             f.write("grant/yard-calls/a-1", {{"granted", 49'950'001}});
         },
         "49950001 tokens are allocated, pool \"yard-ledger\" allows 49950000"},
        {[](auto& f) {
             f.write("grant/other/a-1", {{"granted", 0}});
         },
         "has no ledger row"},
        {[](auto& f) { f.put("a-1", 4, json::array()); }, "expected sequence number 3"},
        {[](auto& f) { f.put("a-1", 3, operated_platform::spent(151)); },
         "spent 151 tokens, its open grant is 150"},
        {[](auto& f) { f.put("b-2", 2, operated_platform::spent(160)); },
         "spent 160 tokens, its closed grant is 150"},
        {[](auto& f) { f.put("b-2", 3, json::array()); }, "its final segment is 2"},
        {[](auto& f) {
             f.put("a-1", 3, json::array(), json::array({operated_platform::bill("k1", 31)}));
         },
         "is billed at 31 tokens"},
        {[](auto& f) {
             f.put("a-1", 3, json::array(), json::array({operated_platform::bill("k3", 151)}));
         },
         "221 tokens are billed, 220 are spent"},
        {[](auto& f) {
             f.write("grant/planning/a-1", {{"granted", 200}, {"sent", {{"b-2", 51}}}});
         },
         "\"a-1\" sent 51 tokens to \"b-2\", which received 50"},
        {[](auto& f) { f.remove("instance/a-1"); }, "has no instance row"},
        {[](auto& f) { f.remove("routes/drivers-east.brief"); },
         "routes row \"drivers-east.brief\": it differs from the replayed log"},
        {[](auto& f) {
             f.write("config/head", {{"version", 2}});
         },
         "config/log/000000000002"},
        {[](auto& f) {
             f.write("term", {{"term", 0}});
         },
         "row term"},
        {[](auto& f) {
             f.write("ledger/planning", {{"allocated", "300"}});
         },
         "row ledger/planning"},
    };
    for (const auto& [change, expected] : changes) {
        operated_platform fleet;
        fleet.apply(example("braithwaite"));
        fleet.add_spend();
        change(fleet);
        const auto found = fleet.disagreements();
        CHECK_TEXT(std::any_of(found.begin(), found.end(),
                               [&](const auto& line) { return contains(line, expected); }),
                   expected.c_str());
    }
}
