#include "requests/execution_registry.h"

#include "core/digest.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>
#include <set>
#include <utility>

namespace jujubevalve
{

namespace
{
std::uint64_t hex_value(std::string_view digits)
{
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

std::uint64_t digest_prefix(std::string_view digest)
{
    return hex_value(digest.substr(0, 16));
}

bool is_active(execution_state state)
{
    return state == execution_state::accepted || state == execution_state::sent;
}

const failure key_expired_failure{
    result_code::key_expired,
    "the key's epoch has expired and its record is no longer kept; the outcome is unknown"};
} // namespace

execution_registry::execution_registry(std::string incarnation, key_epochs epochs,
                                       registry_limits limits)
    : incarnation_{std::move(incarnation)}
    , epochs_{epochs}
    , limits_{limits}
{
}

execution_registry::key_digest execution_registry::digest_of(std::string_view account,
                                                             std::string_view key)
{
    const auto digest = sha256_hex(fmt::format("{}:{}{}", account.size(), account, key));
    return {hex_value(std::string_view{digest}.substr(0, 16)),
            hex_value(std::string_view{digest}.substr(16, 16))};
}

begin_result execution_registry::begin(const execution_request& request, time_ms now)
{
    if (request.key.empty()) {
        if (!request.idempotent) {
            return make_refusal(request, true,
                                {result_code::idempotency_key_required,
                                 "a request that runs at most once needs an idempotency key"});
        }
        const auto blocked = start_error(request);
        return blocked ? make_refusal(request, true, *blocked) : start(request, std::nullopt, 0);
    }
    if (!request.idempotent && epochs_.expired(request.epoch, now)) {
        return {begin_action::outcome_unknown, 0, nullptr, key_expired_failure};
    }
    const auto key = digest_of(request.account, request.key);
    auto* const known = find(key);
    if (known != nullptr && known->body_digest_prefix != digest_prefix(request.body_digest)) {
        return make_refusal(
            request, true,
            {result_code::idempotency_key_conflict,
             "this request was not run: its key belongs to a request with another body"});
    }
    const bool restarts = known != nullptr && may_restart(*known, request);
    if (known != nullptr && !restarts) {
        known->attempt = std::max(known->attempt, request.attempt);
        known->home_confirmed = known->home_confirmed || request.home_confirmed;
        return result_for_repeat(*known, request);
    }
    if (const auto blocked = start_error(request)) {
        // A drain refuses permanently. A full registry may have space again when a delayed copy of
        // this request arrives, so its refusal doesn't prove that the request never runs.
        return make_refusal(request, draining_, *blocked);
    }
    const int refused_up_to = known == nullptr ? 0 : known->refused_up_to;
    auto next = request;
    if (known != nullptr) {
        next.epoch = std::max(known->epoch, request.epoch);
        remove_execution(known->id);
    }
    return start(next, key, refused_up_to);
}

bool execution_registry::may_restart(const execution_record& known,
                                     const execution_request& request)
{
    if (known.idempotent) {
        return known.state == execution_state::answered && !known.answer;
    }
    return known.state == execution_state::refused &&
           (request.attempt == 0 || request.attempt > known.refused_up_to);
}

begin_result execution_registry::start(const execution_request& request,
                                       std::optional<key_digest> key, int refused_up_to)
{
    execution_record started;
    started.id = ++last_id_;
    started.key = key;
    started.body_digest_prefix = digest_prefix(request.body_digest);
    started.idempotent = request.idempotent;
    started.home_confirmed = request.idempotent || request.home_confirmed;
    started.attempt = request.attempt;
    started.refused_up_to = refused_up_to;
    started.epoch = request.epoch;
    if (key) {
        by_key_[*key] = started.id;
    }
    if (!request.idempotent) {
        ++non_idempotent_count_;
    }
    ++active_;
    by_id_[last_id_] = std::move(started);
    return {begin_action::start, last_id_, nullptr, {}};
}

begin_result execution_registry::result_for_repeat(const execution_record& known,
                                                   const execution_request& request) const
{
    switch (known.state) {
    case execution_state::accepted:
    case execution_state::sent:
        return {begin_action::join, known.id, nullptr, {}};
    case execution_state::answered:
        if (known.answer) {
            return {begin_action::answered, known.id, known.answer, {}};
        }
        return {begin_action::outcome_unknown,
                known.id,
                nullptr,
                {result_code::key_expired, "the request ran; its answer is no longer kept"}};
    case execution_state::unknown:
        return {begin_action::outcome_unknown, known.id, nullptr, known.error};
    case execution_state::refused:
        break;
    }
    auto refused = make_refusal(request, known.home_confirmed, known.error);
    refused.id = known.id;
    return refused;
}

std::optional<failure> execution_registry::start_error(const execution_request& request) const
{
    if (draining_) {
        return failure{result_code::draining, "this instance is shutting down; use another one"};
    }
    if (!request.idempotent && non_idempotent_count_ >= limits_.max_non_idempotent) {
        return failure{
            result_code::overloaded,
            fmt::format("this instance already keeps {} idempotency keys", non_idempotent_count_)};
    }
    return std::nullopt;
}

begin_result execution_registry::make_refusal(const execution_request& request, bool final,
                                              failure error)
{
    // If no record is kept here, or if this is not the key's home, a copy of an earlier attempt may
    // still run.
    const bool first_attempt = request.attempt == 1;
    const bool certain = request.idempotent || first_attempt ||
                         (request.home_confirmed && (final || request.attempt == 0));
    return {certain ? begin_action::refused : begin_action::outcome_unknown, 0, nullptr,
            std::move(error)};
}

status execution_registry::confirm_home(execution_id id, std::int64_t epoch, time_ms now)
{
    auto* const found = find(id);
    if (!epochs_.expired(epoch, now)) {
        if (found != nullptr) {
            found->home_confirmed = true;
        }
        return success();
    }
    if (found != nullptr && found->state == execution_state::accepted) {
        found->error = key_expired_failure;
        finish(*found, execution_state::unknown, now);
    }
    return key_expired_failure;
}

bool execution_registry::mark_sent(execution_id id)
{
    auto* const found = find(id);
    if (found == nullptr || !found->home_confirmed || !is_active(found->state)) {
        return false;
    }
    if (!found->idempotent && found->state != execution_state::accepted) {
        return false;
    }
    found->earlier_may_have_run =
        found->earlier_may_have_run || found->state == execution_state::sent;
    found->state = execution_state::sent;
    return true;
}

void execution_registry::mark_not_delivered(execution_id id)
{
    auto* const found = find(id);
    if (found != nullptr && found->state == execution_state::sent && !found->earlier_may_have_run) {
        found->state = execution_state::accepted;
    }
}

bool execution_registry::mark_answered(execution_id id, recorded_answer answer, time_ms now)
{
    auto* const found = find(id);
    if (found == nullptr ||
        (found->state != execution_state::sent && found->state != execution_state::unknown)) {
        return false;
    }
    store_answer(*found, std::move(answer));
    return finish(*found, execution_state::answered, now);
}

bool execution_registry::mark_unknown(execution_id id, failure error, time_ms now)
{
    auto* const found = find(id);
    if (found == nullptr || found->state != execution_state::sent) {
        return false;
    }
    found->error = std::move(error);
    return finish(*found, execution_state::unknown, now);
}

run_outcome execution_registry::refuse(execution_id id, failure error, time_ms now)
{
    auto* const found = find(id);
    if (found == nullptr || found->state != execution_state::accepted) {
        mark_unknown(id, std::move(error), now);
        return run_outcome::unknown;
    }
    const bool certain = found->idempotent || found->home_confirmed || found->attempt == 1;
    found->error = std::move(error);
    found->refused_up_to = std::max(found->refused_up_to, found->attempt);
    finish(*found, execution_state::refused, now);
    return certain ? run_outcome::not_run : run_outcome::unknown;
}

void execution_registry::withdraw(execution_id id)
{
    const auto* const found = find(id);
    if (found != nullptr && found->state == execution_state::accepted) {
        --active_;
        remove_execution(id);
    }
}

bool execution_registry::finish(execution_record& done, execution_state state, time_ms now)
{
    if (is_active(done.state)) {
        --active_;
    }
    done.state = state;
    const bool ran = state != execution_state::refused;
    const bool first_outcome = ran && !std::exchange(done.billed, done.billed || ran);
    // A finished record is kept if its answer can be returned again, or if it prevents another run
    // of a non-idempotent key.
    const bool numbered_refusal = !done.idempotent && done.refused_up_to > 0;
    const bool keep =
        done.idempotent ? state == execution_state::answered && done.key : ran || numbered_refusal;
    if (!keep) {
        remove_execution(done.id);
    } else if (done.idempotent) {
        finished_idempotent_.push_back({done.id, now});
    } else {
        by_epoch_[done.epoch].push_back(done.id);
    }
    return first_outcome;
}

void execution_registry::store_answer(execution_record& done, recorded_answer answer)
{
    if (!done.key || answer.body.size() > limits_.max_answer_bytes) {
        return;
    }
    if (done.answer) {
        drop_answer(done.id);
    }
    answer_bytes_ += answer.body.size();
    done.answer = std::make_shared<const recorded_answer>(std::move(answer));
    stored_answers_.push_back(done.id);
    while (answer_bytes_ > limits_.max_answer_bytes) {
        const auto oldest = stored_answers_.front();
        stored_answers_.pop_front();
        drop_answer(oldest);
    }
}

void execution_registry::drop_answer(execution_id id)
{
    auto* const found = find(id);
    if (found != nullptr && found->answer) {
        answer_bytes_ -= found->answer->body.size();
        found->answer.reset();
    }
}

void execution_registry::remove_execution(execution_id id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return;
    }
    drop_answer(id);
    const auto& removed = found->second;
    if (!removed.idempotent) {
        --non_idempotent_count_;
    }
    if (removed.key) {
        const auto index = by_key_.find(*removed.key);
        if (index != by_key_.end() && index->second == id) {
            by_key_.erase(index);
        }
    }
    by_id_.erase(found);
}

void execution_registry::expire(time_ms now)
{
    remove_expired_epochs(now);
    remove_old_idempotent(now);
    while (!stored_answers_.empty()) {
        const auto* const oldest = find(stored_answers_.front());
        if (oldest != nullptr && oldest->answer) {
            break;
        }
        stored_answers_.pop_front();
    }
}

void execution_registry::remove_expired_epochs(time_ms now)
{
    while (!by_epoch_.empty() && epochs_.expired(by_epoch_.begin()->first, now)) {
        for (const auto id : by_epoch_.begin()->second) {
            remove_execution(id);
        }
        by_epoch_.erase(by_epoch_.begin());
    }
}

void execution_registry::remove_old_idempotent(time_ms now)
{
    while (!finished_idempotent_.empty()) {
        const auto& oldest = finished_idempotent_.front();
        const bool too_old = oldest.finished_at + limits_.idempotent_retention <= now;
        if (!too_old && finished_idempotent_.size() <= limits_.max_idempotent) {
            return;
        }
        remove_execution(oldest.id);
        finished_idempotent_.pop_front();
    }
}

std::optional<execution_state> execution_registry::state_of(execution_id id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? std::nullopt : std::optional{found->second.state};
}

execution_registry::execution_record* execution_registry::find(execution_id id)
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : &found->second;
}

execution_registry::execution_record* execution_registry::find(const key_digest& key)
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : find(found->second);
}

std::optional<final_records> execution_registry::final(time_ms now) const
{
    if (!draining_ || active_ > 0) {
        return std::nullopt;
    }
    std::set<std::string, std::less<>> sent;
    for (const auto& [id, done] : by_id_) {
        if (!done.idempotent && done.state != execution_state::refused) {
            sent.insert(fmt::format("{:016x}", done.key->high));
        }
    }
    return final_records{incarnation_, epochs_.first_valid(now), std::move(sent)};
}

} // namespace jujubevalve
