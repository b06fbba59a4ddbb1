#include "requests/requests.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace jujubevalve;

namespace
{
const key_prefix prefixes{"fleet secret"};

struct fake_directory {
    std::map<std::string, incarnation_info> known;

    [[nodiscard]] incarnation_info find(const std::string& incarnation) const
    {
        const auto found = known.find(incarnation);
        return found == known.end() ? incarnation_info{} : found->second;
    }
};

std::string key_of(const std::string& incarnation, const std::string& account = "acct")
{
    return prefixes.issue(incarnation, 3, account) + "-order-1";
}
} // namespace

TEST_GROUP(keys)
{
    key_home home{"a-1", prefixes};
    fake_directory directory;

    home_action decide(const std::string& key) const
    {
        return home.decide("acct", key, directory).action;
    }
    home_action after_insert(const intent_result& result) const
    {
        return home.after_intent("acct", "own-key", result, directory).action;
    }
};

TEST(keys, an_issued_prefix_verifies_for_its_account)
{
    const auto issued = prefixes.verify(key_of("a-1"), "acct");
    CHECK(issued && *issued == (issued_key{"a-1", 3, "-order-1"}));
}

// Guards against a caller that chooses the home or epoch itself, or uses another account's key. A
// request could then run twice.
TEST(keys, rejects_forged_and_foreign_prefixes)
{
    const auto key = key_of("a-1");
    CHECK(prefixes.verify(key, "other").error().code == result_code::invalid_key_prefix);
    CHECK(!key_prefix{"wrong secret"}.verify(key, "acct"));
    for (std::size_t i = 0; i < prefixes.issue("a-1", 3, "acct").size(); ++i) {
        auto forged = key;
        forged[i] = forged[i] == '0' ? '1' : '0';
        CHECK(!prefixes.verify(forged, "acct"));
    }
    for (const auto* const text : {"jv1.", "jv1.a", "jv1.a.1.", "jv1..1.0123456789abcdef-x",
                                   "jv1.a.-1.0123456789abcdef-x", "jv1.a.01.0123456789abcdef-x"}) {
        CHECK(!prefixes.verify(text, "acct"));
    }
    CHECK(!prefixes.verify(prefixes.issue("a-1", 3, "acct"), "acct"));
}

// Guards against reporting "not run" for a key that was issued, and may have run, before the secret
// changed.
TEST(keys, the_previous_secret_stays_valid)
{
    CHECK((key_prefix{"new", "fleet secret"}.verify(key_of("a-1"), "acct").has_value()));
}

TEST(keys, only_the_home_runs_a_key)
{
    directory.known["b-1"] = {home_state::live, "10.0.0.2:7000", nullptr};
    CHECK(decide(key_of("a-1")) == home_action::run_here);
    CHECK(decide(key_of("b-1")) == home_action::forward);
    CHECK(decide(key_of("gone-1")) == home_action::outcome_unknown);
    CHECK(decide("callers-own") == home_action::write_intent);
    CHECK(home.decide("acct", "", directory).error.code == result_code::idempotency_key_required);
    CHECK(home.decide("acct", "a b", directory).error.code == result_code::invalid_field);
}

// Guards against reporting "not run" for a key that a drained incarnation has sent, or whose record
// it has removed.
TEST(keys, final_records_prove_not_run_only_for_keys_they_cover)
{
    const auto sent = final_records::digest_of("acct", key_of("d-1"));
    for (const auto& [records, expected] :
         {std::pair{final_records{"d-1", 0, {}}, home_action::refuse},
          std::pair{final_records{"d-1", 0, {sent}}, home_action::outcome_unknown},
          std::pair{final_records{"d-1", 4, {}}, home_action::outcome_unknown},
          std::pair{final_records{"e-1", 0, {}}, home_action::outcome_unknown}}) {
        const auto copy = final_records::from_json(records.to_json());
        CHECK(copy && *copy == records);
        directory.known["d-1"] = {home_state::drained, "",
                                  std::make_shared<const final_records>(*copy)};
        CHECK(decide(key_of("d-1")) == expected);
    }
    directory.known["d-1"].records.reset();
    CHECK(decide(key_of("d-1")) == home_action::outcome_unknown);
    CHECK(!final_records::from_json(R"({"sent":1})"));
}

// Guards against running a request under an intent row whose insert may not have taken effect. It
// could then run at a second home.
TEST(keys, an_intent_row_names_the_home)
{
    directory.known["b-1"] = {home_state::live, "10.0.0.2:7000", nullptr};
    CHECK(after_insert({intent_outcome::inserted, {"a-1", 3}}) == home_action::run_here);
    CHECK(after_insert({intent_outcome::exists, {"a-1", 3}}) == home_action::run_here);
    CHECK(after_insert({intent_outcome::exists, {"b-1", 3}}) == home_action::forward);
    CHECK(after_insert({intent_outcome::exists, {"gone-1", 3}}) == home_action::outcome_unknown);
    CHECK(after_insert({intent_outcome::unknown}) == home_action::retry_intent);
    CHECK(*intent_row::from_json(intent_row{"a-1", 3}.to_json()) == (intent_row{"a-1", 3}));
}

// Guards against reporting "not run" while a copy of another attempt may run at the key's home.
TEST(keys, without_platform_only_the_first_attempt_is_not_run)
{
    CHECK(after_insert({intent_outcome::unavailable, {}, 1}) == home_action::refuse);
    CHECK(after_insert({intent_outcome::unavailable, {}, 2}) == home_action::outcome_unknown);
    CHECK(after_insert({intent_outcome::unavailable, {}, 0}) == home_action::outcome_unknown);
    CHECK(after_insert({intent_outcome::unknown, {}, 1, true}) == home_action::refuse);
    CHECK(key_home::refusal_away_from_home(1, true) == run_outcome::unknown);
}

// Guards against a resume that returns the answer of another account or another request.
TEST(keys, a_resume_token_is_bound_to_account_and_body)
{
    const resume_token tokens{"fleet secret"};
    const resume_target target{"grit-1", "a-1.grit-1.7"};
    const auto value = tokens.issue(target, "acct", "body");
    CHECK(*tokens.verify(value, "acct", "body") == target);
    CHECK(!tokens.verify(value, "other", "body"));
    CHECK(!tokens.verify(value, "acct", "other"));
    CHECK(!tokens.verify(value + "1", "acct", "body"));
    CHECK(!tokens.verify("jr1.x", "acct", "body"));
}

TEST(keys, backend_keys_allow_dots_in_server_names)
{
    const backend_key key{"a-1", "grit.1", 7};
    CHECK(backend_key::parse(key.to_text()) == key);
    for (const auto* const text : {"", "a", "a.b", "a..1", ".b.1", "a.b.0", "a.b.x", "a.b.1x"}) {
        CHECK(!backend_key::parse(text));
    }
}
