#include "requests/key_home.h"

#include "core/digest.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace jujubevalve
{

namespace
{
home_decision make_refusal(failure error)
{
    home_decision decision;
    decision.error = std::move(error);
    return decision;
}

home_decision make_unknown(failure error)
{
    auto decision = make_refusal(std::move(error));
    decision.action = home_action::outcome_unknown;
    return decision;
}
} // namespace

key_home::key_home(std::string incarnation, key_prefix prefixes)
    : incarnation_{std::move(incarnation)}
    , prefixes_{std::move(prefixes)}
{
}

home_decision key_home::decide_by_key(std::string_view account, std::string_view key) const
{
    if (key.empty()) {
        return make_refusal(
            {result_code::idempotency_key_required,
             "this route runs a request at most once and needs header Idempotency-Key"});
    }
    if (const auto checked = check_key(key); !checked) {
        return make_refusal(checked.error());
    }
    home_decision decision;
    if (!key_prefix::has_prefix(key)) {
        decision.action = home_action::write_intent;
        decision.incarnation = incarnation_;
        return decision;
    }
    const auto issued = prefixes_.verify(key, account);
    if (!issued) {
        return make_refusal(issued.error());
    }
    const bool issued_here = issued->incarnation == incarnation_;
    decision.action = issued_here ? home_action::run_here : home_action::forward;
    decision.incarnation = issued->incarnation;
    decision.epoch = issued->epoch;
    return decision;
}

home_decision key_home::decide_by_intent(const intent_result& result) const
{
    home_decision decision;
    decision.incarnation = result.row.incarnation;
    decision.epoch = result.row.epoch;
    switch (result.outcome) {
    case intent_outcome::inserted:
        decision.action = home_action::run_here;
        return decision;
    case intent_outcome::exists:
        decision.action =
            result.row.incarnation == incarnation_ ? home_action::run_here : home_action::forward;
        return decision;
    case intent_outcome::unknown:
        if (!result.give_up) {
            decision.action = home_action::retry_intent;
            return decision;
        }
        break;
    case intent_outcome::unavailable:
        break;
    }
    const failure error{
        result_code::platform_unavailable,
        "a key without issued prefix needs the platform, which does not answer; use "
        "a prefix from GET /v1/instances"};
    return refusal_away_from_home(result.attempt, false) == run_outcome::not_run
               ? make_refusal(error)
               : make_unknown(error);
}

home_decision key_home::decide_remote(home_decision decision, std::string_view account,
                                      std::string_view key, const incarnation_info& info)
{
    if (info.state == home_state::live) {
        decision.peer_address = info.peer_address;
        return decision;
    }
    if (info.state == home_state::drained && info.records &&
        info.records->incarnation() == decision.incarnation &&
        info.records->proves_not_run(account, key, decision.epoch)) {
        return make_refusal(
            {result_code::draining,
             fmt::format("incarnation {} ended without sending this request; ask again "
                         "with a new key",
                         decision.incarnation)});
    }
    return make_unknown(
        {result_code::key_home_gone,
         fmt::format("incarnation {} alone knows whether this request ran, and it is "
                     "gone",
                     decision.incarnation)});
}

run_outcome key_home::refusal_away_from_home(int attempt, bool maybe_forwarded)
{
    return attempt == 1 && !maybe_forwarded ? run_outcome::not_run : run_outcome::unknown;
}

std::string intent_row::name(std::string_view account, std::string_view key)
{
    return fmt::format("intent/{}/{}", account, sha256_hex(key));
}

std::string intent_row::to_json() const
{
    return nlohmann::json{{"incarnation", incarnation}, {"epoch", epoch}}.dump();
}

result<intent_row> intent_row::from_json(std::string_view text)
{
    try {
        const auto document = nlohmann::json::parse(text);
        return intent_row{document.at("incarnation").get<std::string>(),
                          document.at("epoch").get<std::int64_t>()};
    } catch (const nlohmann::json::exception& error) {
        return failure{result_code::malformed_row,
                       fmt::format("intent row is malformed: {}", error.what())};
    }
}

} // namespace jujubevalve
